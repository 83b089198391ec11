package nutmegstore

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// EraState is what a client knows of the store's era.
type EraState struct {
	Era   nutmegid.Era
	Since time.Time // when the client learned of it; zero if the store states no era
	// Restored means that the client has seen an earlier era: the store was restored.
	Restored bool
}

// eraTracker tracks the highest era that the store has stated.
type eraTracker struct {
	mu    sync.Mutex
	state EraState
}

var (
	// errOldEra means that a response was sent before the store went back to a copy.
	errOldEra = errors.New("the response is from before the store was restored")
	// errOtherEra means that the changes since a version cannot be told: the store has
	// given out its number again.
	errOtherEra = errors.New("the store was restored after this version")
)

// observe records the era of a response. It returns the state before and whether the
// era is a new one. An era lower than the current one is an error.
func (t *eraTracker) observe(era nutmegid.Era) (before EraState, isNew bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.state
	if era < before.Era {
		return before, false, fmt.Errorf("%w: its era is %d, the store's %d", errOldEra, era, before.Era)
	}
	if era == before.Era {
		return before, false, nil
	}
	t.state = EraState{Era: era, Since: time.Now(), Restored: before.Era != 0}
	return before, true, nil
}

func (t *eraTracker) get() EraState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}
