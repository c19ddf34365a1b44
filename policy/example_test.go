package policy_test

import (
	"fmt"

	"merlinhitch/policy"
)

func Example() {
	scheduler := policy.New(policy.Settings{
		Hosts:   1,
		Classes: []policy.Class{{Name: "read", Value: 1, LatencyTarget: 200, Deadline: 900, Effect: policy.Idempotent}},
	}, 42)
	scheduler.Handle(0, policy.NodeList{Full: true, Nodes: []policy.Node{{Addr: "10.0.0.1:5001", Health: policy.Ready}}})
	for _, a := range scheduler.Handle(1, policy.Request{ID: "a", Class: "read", Volume: "v", Units: 1, Expires: 901}) {
		if send, ok := a.(policy.Send); ok {
			fmt.Println("send", send.ID, "to", send.Node)
		}
	}
	// Output: send a to 10.0.0.1:5001
}
