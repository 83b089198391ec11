// Package nutmegfollow keeps an instance's view in sync with the configuration and
// the upstreams in the store. It watches the store and reads the objects again
// when a watch has broken.
//
// # Usage
//
//	config := nutmegfollow.NewConfigFollower(nutmegfollow.ConfigFollowerConfig{Store: client, Key: key, Decode: decode, View: view})
//	config.Start(ctx)
//	// ... ctx ends ...
//	config.Wait()
package nutmegfollow

import (
	"context"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Store is the part of the store client that followers use.
type Store interface {
	FollowBatches(ctx context.Context, r nutmegstore.FollowRequest, fn func(nutmegstore.Batch))
}

// ConfigFollowerConfig configures a ConfigFollower.
type ConfigFollowerConfig struct {
	Store         Store
	Source        nutmegstore.ChangeSource // of changes; the store when nil
	Key           nutmegstore.Key          // object that holds the current configuration
	Decode        func(value []byte) (*nutmegview.Config, error)
	View          *nutmegview.View
	OnDecodeError func(object nutmegstore.Object, err error) // called if a value cannot be decoded
	// OnNotNewer is called for a configuration that the view does not apply.
	OnNotNewer func(c *nutmegview.Config, version nutmegid.Version)
}

// ConfigFollower keeps the view's configuration up to date.
type ConfigFollower struct {
	cfg  ConfigFollowerConfig
	done chan struct{}
}

// NewConfigFollower returns a follower. Call Start to run it.
func NewConfigFollower(cfg ConfigFollowerConfig) *ConfigFollower {
	if cfg.OnDecodeError == nil {
		cfg.OnDecodeError = func(nutmegstore.Object, error) {}
	}
	if cfg.OnNotNewer == nil {
		cfg.OnNotNewer = func(*nutmegview.Config, nutmegid.Version) {}
	}
	return &ConfigFollower{cfg: cfg, done: make(chan struct{})}
}

// Start follows the configuration until ctx ends.
func (f *ConfigFollower) Start(ctx context.Context) {
	go f.run(ctx)
}

// Wait blocks until the follower has stopped.
func (f *ConfigFollower) Wait() {
	<-f.done
}

func (f *ConfigFollower) run(ctx context.Context) {
	defer close(f.done)
	request := nutmegstore.FollowRequest{Kind: f.cfg.Key.Kind, Prefix: f.cfg.Key.Name, Source: f.cfg.Source}
	f.cfg.Store.FollowBatches(ctx, request, func(b nutmegstore.Batch) {
		for _, o := range b.Objects {
			f.apply(o)
		}
	})
}

// apply puts a configuration into force. A deletion is ignored, because the
// store's operator only ever replaces the object.
func (f *ConfigFollower) apply(o nutmegstore.Object) {
	if o.Deleted || o.Key.Name != f.cfg.Key.Name {
		return
	}
	config, err := f.cfg.Decode(o.Value)
	if err != nil {
		f.cfg.OnDecodeError(o, err)
		return
	}
	if !f.cfg.View.Apply(config) {
		f.cfg.OnNotNewer(config, o.Version)
	}
}
