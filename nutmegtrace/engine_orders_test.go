package nutmegtrace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

func TestConfirmedOrderReachesTheEngineOnce(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, FleetConfig{Instances: 2, Engines: 1})
	if err := f.Setup(ctx, []OwnerSpec{{Name: "kaca", Tokens: 10}}, []WorkspaceSpec{{Name: "rack", Owner: "kaca", Tokens: 10}}); err != nil {
		t.Fatal(err)
	}
	intent := nutmegconf.Intent{
		Kind: nutmegconf.IntentLoadVersion, Upstreams: []nutmegid.Upstream{"engine-1"}, Model: DefaultModel, Version: "v2",
	}
	if _, err := f.ApplyIntents(ctx, 0, intent); err != nil {
		t.Fatal(err)
	}
	e := f.Engines[0]
	for e.State().Models[string(DefaultModel)] != "v2" && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second) // in which the other instance may act too
	var sent []string
	for _, o := range e.Orders() {
		sent = append(sent, o.Kind)
	}
	if diff := cmp.Diff([]string{"load_version"}, sent); diff != "" {
		t.Errorf("orders at the engine (-want +got):\n%s", diff)
	}
}
