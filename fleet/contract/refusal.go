package contract

import (
	"fmt"
	"time"
)

// Code is the reason of a refusal, as callers see it.
type Code string

// The reasons why a request gets no answer from a runner.
const (
	InvalidRequest   Code = "invalid_request"
	RequestTooLarge  Code = "request_too_large"
	RequestTimeout   Code = "request_timeout"
	InvalidKey       Code = "invalid_key"
	RouteNotFound    Code = "route_not_found"
	RateLimited      Code = "rate_limited"
	Overloaded       Code = "overloaded"
	NoRunner         Code = "no_runner"
	NoReplica        Code = "no_replica"
	ManifestMissing  Code = "manifest_missing"
	ManifestStale    Code = "manifest_stale"
	ManifestInvalid  Code = "manifest_invalid" // it has a part that can't be read, on which the request depends
	CrashSuspect     Code = "crash_suspect"
	DeadlineExceeded Code = "deadline_exceeded"
	RunnerFailed     Code = "runner_failed"
	Stopping         Code = "stopping"
	StreamLost       Code = "stream_lost"       // no runner can go on with the stream that the caller takes up
	OriginUnknown    Code = "origin_unknown"    // what began that stream is not known now
	StreamUnrecorded Code = "stream_unrecorded" // what begins the stream could not be recorded
)

// Refusal is the result of a request that gets no answer from a runner. It is an expected result, not an error of the
// process.
type Refusal struct {
	Code       Code
	MayHaveRun bool          // a runner may have begun to run the request
	RetryAfter time.Duration // zero: sending the request again is not expected to succeed
	Detail     string        // sentence for the caller; must not contain a key
	DecidedBy  string        // the part that decided and its reason, for the log; empty: the code says it
}

// Refuse returns the refusal of a request that has not run and will not.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Failed returns the refusal of a request that may have run.
func Failed(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, MayHaveRun: true, Detail: fmt.Sprintf(format, args...)}
}
