package soak

import (
	"fmt"
	"slices"
	"time"
)

// Service is what the clients that are not hostile got, and what was sent for clients that had left.
type Service struct {
	Requests, Served, Refused, Failed int
	Unanswered                        int // neither answered nor abandoned by the client
	Latency99                         time.Duration
	// LateSends counts the attempts that began more than abandonSlack after their client had left,
	// hostile or not. LongestLateSend is the longest time between the two.
	LateSends       int
	LongestLateSend time.Duration
}

// Service returns what the clients of the run got.
func (r *Run) Service() Service {
	var service Service
	var latencies []time.Duration
	abandonedAt := map[string]time.Duration{}
	for _, request := range r.Record.Requests {
		if request.AbandonedAt > 0 {
			abandonedAt[request.ID] = request.AbandonedAt
		}
		if request.Hostile {
			continue
		}
		service.Requests++
		switch {
		case request.Status == 200:
			service.Served++
		case request.Status == 429 || request.Status == 503:
			service.Refused++
		case request.Status != 0:
			service.Failed++
		case request.AbandonedAt == 0 || request.AbandonedAt > request.SentAt+request.Timeout:
			service.Unanswered++
		}
		if request.AnsweredAt > 0 {
			latencies = append(latencies, request.AnsweredAt-request.SentAt)
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		service.Latency99 = latencies[len(latencies)*99/100]
	}
	for _, attempt := range r.Record.Attempts {
		leftAt, left := abandonedAt[attempt.ID]
		if late := attempt.FirstByteAt - leftAt; left && late > abandonSlack+r.Options.HostSlack {
			service.LateSends++
			service.LongestLateSend = max(service.LongestLateSend, late)
		}
	}
	return service
}

func (s Service) String() string {
	return fmt.Sprintf("%d usual requests: %d served, %d refused, %d failed, %d without an answer, 99%% within %.3f s; %d attempts after the client had left, %.3f s at most",
		s.Requests, s.Served, s.Refused, s.Failed, s.Unanswered, s.Latency99.Seconds(), s.LateSends, s.LongestLateSend.Seconds())
}
