// Package nutmegfollow keeps an instance's view as the store has it: the
// configuration and the upstreams. It watches, and reads again after a watch
// has broken.
//
// # Usage
//
//	config := nutmegfollow.NewConfig(nutmegfollow.ConfigConfig{Store: client, Key: key, Decode: decode, View: view})
//	config.Start(ctx)
//	// ... ctx ends ...
//	config.Wait()
package nutmegfollow

import (
	"context"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Store is the part of the store's client that a follower needs.
type Store interface {
	FollowBatches(ctx context.Context, kind, prefix string, fn func(nutmegstore.Batch))
}

// ConfigConfig configures a follower of the configuration.
type ConfigConfig struct {
	Store  Store
	Key    nutmegstore.Key // of the object that holds the newest configuration
	Decode func(value []byte) (*nutmegview.Config, error)
	View   *nutmegview.View
	OnBad  func(version nutmegstore.Object, err error) // told of a value that can't be read
}

// Config keeps the view's configuration the newest one.
type Config struct {
	cfg  ConfigConfig
	done chan struct{}
}

// NewConfig returns a follower that does not run yet.
func NewConfig(cfg ConfigConfig) *Config {
	if cfg.OnBad == nil {
		cfg.OnBad = func(nutmegstore.Object, error) {}
	}
	return &Config{cfg: cfg, done: make(chan struct{})}
}

// Start follows until ctx ends.
func (c *Config) Start(ctx context.Context) {
	go c.run(ctx)
}

// Wait returns when the follower has ended.
func (c *Config) Wait() {
	<-c.done
}

func (c *Config) run(ctx context.Context) {
	defer close(c.done)
	c.cfg.Store.FollowBatches(ctx, c.cfg.Key.Kind, c.cfg.Key.Name, func(b nutmegstore.Batch) {
		for _, o := range b.Objects {
			c.take(o)
		}
	})
}

// take puts a configuration into force. A removed one stays in force: the
// store's operator only ever replaces it.
func (c *Config) take(o nutmegstore.Object) {
	if o.Deleted || o.Key.Name != c.cfg.Key.Name {
		return
	}
	config, err := c.cfg.Decode(o.Value)
	if err != nil {
		c.cfg.OnBad(o, err)
		return
	}
	c.cfg.View.Apply(config)
}
