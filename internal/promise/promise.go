// Package promise checks the guarantees of the system against the records of the emulated back
// ends and the results that callers received. It uses no data from the system under test.
package promise

import (
	"fmt"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/workload"
)

// Name identifies a guarantee.
type Name string

// The guarantees that records and results can verify.
const (
	// WholeVersion: no answer comes from partial weights or from a mix of versions.
	WholeVersion Name = "whole-version"
	// OwnAnswer: every answer is complete and belongs to its request.
	OwnAnswer Name = "own-answer"
	// NotRunIsTrue: a request refused as not-run did not run.
	NotRunIsTrue Name = "not-run-is-true"
	// AtMostOnce: a request that must not be repeated runs at most once.
	AtMostOnce Name = "at-most-once"
	// AnsweredRan: a request that was answered did run.
	AnsweredRan Name = "answered-ran"
	// PlannedStopCutsNothing: a planned stop cuts off no request.
	PlannedStopCutsNothing Name = "planned-stop-cuts-nothing"
)

// Violation reports a request that broke a guarantee.
type Violation struct {
	Promise Name   `json:"promise"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// Runs counts the runs of each request ID on the back ends.
type Runs map[string]int

// Check compares results with the runs that the back ends recorded, of plain calls and of
// generations, and returns all violations.
func Check(results []workload.Result, calls, generations Runs) []Violation {
	var violations []Violation
	add := func(name Name, result workload.Result, detail string) {
		violations = append(violations, Violation{Promise: name, Request: result.ID, Detail: detail})
	}
	for _, result := range results {
		if result.Fault != "" {
			name := OwnAnswer
			if result.Request.Kind != workload.KindCall {
				name = WholeVersion
			}
			add(name, result, result.Fault)
		}
		runs := generations[result.ID]
		if result.Request.Kind == workload.KindCall {
			runs = calls[result.ID]
		}
		if result.ID == "" {
			continue
		}
		if result.Execution == fault.ExecutionNotRun && runs > 0 {
			add(NotRunIsTrue, result, fmt.Sprintf("refused as not-run (%s), ran %d times", result.Reason, runs))
		}
		if notRepeatable(result.Request) && runs > 1 {
			add(AtMostOnce, result, fmt.Sprintf("ran %d times", runs))
		}
		if result.Answered && runs == 0 && result.Request.IdempotencyKey == "" {
			add(AnsweredRan, result, "answered without a run")
		}
	}
	return append(violations, checkKeys(results, calls)...)
}

func notRepeatable(request workload.Request) bool {
	return request.NotRepeatable
}

// checkKeys checks that each idempotency key ran at most once across all its requests.
func checkKeys(results []workload.Result, calls Runs) []Violation {
	total := map[string]int{}
	for _, result := range results {
		if result.Request.IdempotencyKey != "" && result.Request.NotRepeatable {
			total[result.Request.Key+"/"+result.Request.IdempotencyKey] += calls[result.ID]
		}
	}
	var violations []Violation
	for key, runs := range total {
		if runs > 1 {
			violations = append(violations, Violation{Promise: AtMostOnce, Request: key, Detail: fmt.Sprintf("key ran %d times", runs)})
		}
	}
	return violations
}
