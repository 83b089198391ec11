package nutmegsuspect

import (
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Suspect is something that requests have in common, under which a process ended.
type Suspect struct {
	Key Key `json:"key"`
	// Part is the position of a part in the prompts, starting at 1; zero for the
	// content of a request.
	Part int `json:"part,omitempty"`
}

// String names the suspect in log lines.
func (s Suspect) String() string {
	if s.Part > 0 {
		return fmt.Sprintf("the prompt part %s", s.Key)
	}
	return fmt.Sprintf("the content %s", s.Key)
}

// Report lists the suspects of one instance at the end of a process. A later report
// of the same reporter on the same process has all suspects of the earlier ones.
type Report struct {
	Process  nutmegview.Process   `json:"process"`
	Reporter nutmegid.Incarnation `json:"reporter"`
	EndedAt  time.Time            `json:"ended_at"`
	Suspects []Suspect            `json:"suspects"`
}

// Acquittal says that the end of a process does not count against a suspect:
// upstreams have answered such requests.
type Acquittal struct {
	Suspect
	Process nutmegview.Process `json:"process"`
}
