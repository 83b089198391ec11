package nutmegnode

import (
	"context"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// watchLoop follows the configuration's head object.
func (n *Node) watchLoop(ctx context.Context) {
	defer close(n.watchDone)
	n.client.Follow(ctx, nutmegconf.ConfigKind, nutmegconf.HeadKey.Name, n.headChanged)
}

func (n *Node) headChanged(o nutmegstore.Object) {
	if o.Deleted {
		n.log.Error("configuration was deleted from the store; the one in force stays")
		return
	}
	doc, err := nutmegstore.Decode[nutmegconf.Config](o)
	if err != nil {
		n.log.WithError(err).Error("configuration is unreadable; the one in force stays")
		return
	}
	n.view.Apply(&doc.Body)
}
