package nutmegentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// instances registers this instance in the store and knows the others. Entries
// are named by instance, so that a restart replaces its own.
type instances struct {
	client *nutmegstore.Client
	writer *nutmegstore.Writer
	self   nutmegview.Instance
	log    *logrus.Entry
	known  atomic.Pointer[[]nutmegview.Instance]
	done   chan struct{}
}

func newInstances(client *nutmegstore.Client, writer *nutmegstore.Writer, self nutmegview.Instance, log *logrus.Entry) *instances {
	return &instances{client: client, writer: writer, self: self, log: log, done: make(chan struct{})}
}

func (i *instances) start(ctx context.Context) {
	go i.run(ctx)
}

// count returns how many instances there are, this one included.
func (i *instances) count() int {
	return len(i.list())
}

// list returns all known instances, this one at least.
func (i *instances) list() []nutmegview.Instance {
	if known := i.known.Load(); known != nil {
		return *known
	}
	return []nutmegview.Instance{i.self}
}

func (i *instances) run(ctx context.Context) {
	defer close(i.done)
	for !i.register(ctx) {
		if !pause(ctx, registerPause) {
			return
		}
	}
	for {
		i.refresh(ctx)
		if !pause(ctx, instancesRefresh) {
			return
		}
	}
}

// register writes the instance's entry.
func (i *instances) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	key := nutmegstore.Key{Kind: instanceKind, Name: string(i.self.Name)}
	_, err := nutmegstore.Update(ctx, i.writer, key, func(body *nutmegview.Instance) error {
		*body = i.self
		return nil
	})
	if err != nil {
		i.log.WithField("event", "register_failed").WithError(err).Warn("the instance's entry was not written; it is tried again")
	}
	return err == nil
}

// refresh reads the entries of all instances.
func (i *instances) refresh(ctx context.Context) {
	objects, err := i.client.ListStale(ctx, instanceKind)
	if err != nil {
		i.log.WithField("event", "instances_unknown").WithError(err).Info("the list of instances was not read; the last one stays")
		return
	}
	list := []nutmegview.Instance{i.self}
	for _, o := range objects {
		doc, err := nutmegstore.Decode[nutmegview.Instance](o)
		if err != nil {
			i.log.WithField("event", "instance_unreadable").WithError(err).Warn("an instance's entry can't be read")
			continue
		}
		if doc.Body.Name != i.self.Name {
			list = append(list, doc.Body)
		}
	}
	i.known.Store(&list)
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
