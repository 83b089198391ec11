package nutmegbudget_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Example uses the package on its own: a store, a holder and two requests.
func Example() {
	platform := httptest.NewServer(nutmegstand.NewPlatform(nutmegstand.PlatformConfig{}).Handler())
	defer platform.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	inc := nutmegid.NewIncarnation()
	writer := nutmegstore.NewWriter(nutmegstore.NewClient(nutmegstore.ClientConfig{BaseURL: platform.URL}), inc)
	key := nutmegstore.Key{Kind: nutmegbudget.ShardKind, Name: nutmegbudget.ShardName(0)}
	workspace, owner := nutmegid.WorkspaceBudget("rack"), nutmegid.OwnerBudget("kaca")
	_, err := nutmegstore.Update(ctx, writer, key, func(s *nutmegbudget.Shard) error {
		if err := s.TopUp(workspace, "first", 1_000); err != nil {
			return err
		}
		return s.TopUp(owner, "first", 5_000)
	})
	if err != nil {
		fmt.Println(err)
		return
	}

	holder := nutmegbudget.NewHolder(nutmegbudget.HolderConfig{Writer: writer, Incarnation: inc, Instance: "rack-1"})
	holder.Start()
	r, err := holder.Acquire(ctx, workspace, owner, 800)
	fmt.Println("reserved:", r.Tokens(), err)
	_, err = holder.Acquire(ctx, workspace, owner, 800)
	fmt.Println("exhausted:", nutmegbudget.IsKind(err, nutmegbudget.KindExhausted))
	r.Settle(650)
	fmt.Println("stopped:", holder.Stop(ctx))

	doc, err := nutmegstore.Read[nutmegbudget.Shard](ctx, writer, key)
	b := doc.Body.Budgets[workspace]
	fmt.Println("spent:", b.Spent, "leased:", b.Leased(), "left:", b.Remaining(), err)
	// Output:
	// reserved: 800 <nil>
	// exhausted: true
	// stopped: <nil>
	// spent: 650 leased: 0 left: 350 <nil>
}
