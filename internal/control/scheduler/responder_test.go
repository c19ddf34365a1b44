package scheduler

import "testing"

// A response that was served without room for its body must be answered with 504 and no body: the limit
// bounds the bytes queued for clients that do not read.
func TestServedWithoutRoomHasNoBody(t *testing.T) {
	limited := &frontend{memory: &memoryAccount{}}
	limited.memory.answers.limit.Store(3)
	responder := &responder{client: &client{frontend: limited}}
	if got := responder.answer(callServed, 0, []byte("four")); got.status != 504 || len(got.body) != 0 {
		t.Errorf("beyond the limit: got status %d with %d bytes, want 504 with none", got.status, len(got.body))
	}
	if got := responder.answer(callServed, 0, []byte("two")); got.status != 200 || string(got.body) != "two" {
		t.Errorf("within the limit: got status %d with body %q, want 200 with the body", got.status, got.body)
	}
}
