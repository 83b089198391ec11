package nutmegrelay

import (
	"fmt"
	"net/http"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// AnswerFault names what keeps a response from being an answer.
type AnswerFault string

// The faults of responses.
const (
	FaultStatus      AnswerFault = "a status that no answer has"
	FaultUnnamed     AnswerFault = "no request id"
	FaultUnsigned    AnswerFault = "a success without a signature"
	FaultEncoded     AnswerFault = "a success in an encoding"
	FaultContradicts AnswerFault = "a success that states that the request did not run"
)

const maxStatus = 599

// NotAnswerError reports a response that stands in the place of an answer and is
// none. The request may have run.
type NotAnswerError struct {
	Fault  AnswerFault
	Status int
	Length int64 // bytes of the body; negative if not stated
}

// Error implements error.
func (e *NotAnswerError) Error() string {
	return fmt.Sprintf("the response is no answer: %s (status %d, length %d)", e.Fault, e.Status, e.Length)
}

// CheckAnswer returns nil if a response answers the request with the given id. Nothing
// in the header of another response counts. The error is nutmegconn.ErrOtherRequest
// for an answer to another request, and nutmegconn.ErrNoRequest for a response on a
// reused connection that names no request: the answer may follow either. A
// NotAnswerError stands in the place of the answer.
func CheckAnswer(id nutmegid.RequestID, resp *http.Response, info ResponseInfo, reused bool) error {
	if info.RequestID != id && info.RequestID != "" {
		return nutmegconn.ErrOtherRequest
	}
	if info.RequestID != id && reused {
		return nutmegconn.ErrNoRequest
	}
	fault := answerFault(id, resp.StatusCode, info)
	if fault == "" {
		return nil
	}
	return &NotAnswerError{Fault: fault, Status: resp.StatusCode, Length: resp.ContentLength}
}

// answerFault returns the first fault of a response, empty if it has none.
func answerFault(id nutmegid.RequestID, status int, info ResponseInfo) AnswerFault {
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case info.RequestID != id:
		return FaultUnnamed
	case status < http.StatusOK || status > maxStatus:
		return FaultStatus
	case !success:
		return ""
	case info.NotRun:
		return FaultContradicts
	case !info.Signed:
		return FaultUnsigned
	case info.Encoded:
		return FaultEncoded
	}
	return ""
}
