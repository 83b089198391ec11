package nutmegretry

import (
	"math/rand/v2"
	"testing"
	"time"
)

var config = Config{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}

func TestFleetRetriesStayWithinBudget(t *testing.T) {
	// Every request to every instance fails and asks for a retry, at random
	// intervals. The retries of the whole fleet must stay within the limit in each
	// sliding window.
	const instances = 6
	random := rand.New(rand.NewPCG(1, 1))
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = NewBudget(config)
	}
	type attempt struct {
		at    time.Duration
		retry bool
	}
	var attempts []attempt
	for at := time.Duration(0); at < time.Minute; at += time.Duration(random.IntN(20)+1) * time.Millisecond {
		b := budgets[random.IntN(instances)]
		b.RecordRequest("drafter", at)
		attempts = append(attempts, attempt{at: at})
		if b.AllowRetry("drafter", at, instances) {
			attempts = append(attempts, attempt{at: at, retry: true})
		}
	}
	oldest := 0
	requests, retries := 0, 0
	for _, s := range attempts {
		if s.retry {
			retries++
		} else {
			requests++
		}
		for attempts[oldest].at <= s.at-config.Window {
			if attempts[oldest].retry {
				retries--
			} else {
				requests--
			}
			oldest++
		}
		if limit := config.Ratio*float64(requests) + config.Extra; float64(retries) > limit {
			t.Fatalf("%d retries of %d requests in one window, limit %v", retries, requests, limit)
		}
	}
	if retries == 0 {
		t.Error("no request was retried")
	}
}

func TestIdleServiceMayRetry(t *testing.T) {
	b := NewBudget(config)
	b.RecordRequest("desk", time.Hour)
	if !b.AllowRetry("desk", time.Hour, 6) {
		t.Error("first retry of an idle service was denied")
	}
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := NewBudget(config)
	for b.AllowRetry("drafter", time.Second, 6) {
		continue
	}
	b.RecordRequest("desk", time.Second)
	if !b.AllowRetry("desk", time.Second, 6) {
		t.Error("retry of one service was denied because of another service's retries")
	}
}

func TestSetConfigKeepsCounts(t *testing.T) {
	b := NewBudget(config)
	for b.AllowRetry("desk", time.Second, 1) {
		continue
	}
	b.SetConfig(Config{Ratio: 0.2, Extra: 2 * config.Extra, Window: config.Window})
	if !b.AllowRetry("desk", time.Second, 1) {
		t.Error("no retry was allowed after the limit was raised")
	}
	b.SetConfig(config)
	if b.AllowRetry("desk", time.Second, 1) {
		t.Error("earlier retries were not counted after the limit was lowered")
	}
}
