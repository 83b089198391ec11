// Package nutmegfollow keeps an instance's view in sync with the configuration and
// the upstreams in the store. It watches the store and reads the objects again
// when a watch has broken.
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

// Store is the part of the store client that followers use.
type Store interface {
	FollowBatches(ctx context.Context, kind, prefix string, fn func(nutmegstore.Batch))
}

// ConfigConfig configures a Config.
type ConfigConfig struct {
	Store  Store
	Key    nutmegstore.Key // object that holds the current configuration
	Decode func(value []byte) (*nutmegview.Config, error)
	View   *nutmegview.View
	OnBad  func(version nutmegstore.Object, err error) // called if a value cannot be decoded
}

// Config keeps the view's configuration up to date.
type Config struct {
	cfg  ConfigConfig
	done chan struct{}
}

// NewConfig returns a follower. Call Start to run it.
func NewConfig(cfg ConfigConfig) *Config {
	if cfg.OnBad == nil {
		cfg.OnBad = func(nutmegstore.Object, error) {}
	}
	return &Config{cfg: cfg, done: make(chan struct{})}
}

// Start follows the configuration until ctx ends.
func (c *Config) Start(ctx context.Context) {
	go c.run(ctx)
}

// Wait blocks until the follower has stopped.
func (c *Config) Wait() {
	<-c.done
}

func (c *Config) run(ctx context.Context) {
	defer close(c.done)
	c.cfg.Store.FollowBatches(ctx, c.cfg.Key.Kind, c.cfg.Key.Name, func(b nutmegstore.Batch) {
		for _, o := range b.Objects {
			c.apply(o)
		}
	})
}

// apply puts a configuration into force. A deletion is ignored, because the
// store's operator only ever replaces the object.
func (c *Config) apply(o nutmegstore.Object) {
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
