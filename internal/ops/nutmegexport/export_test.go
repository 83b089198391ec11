package nutmegexport

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
)

func TestHandlerServesPrometheusText(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", registry).Inc(1)
	metrics.GetOrRegisterCounter("refused_budget-exhausted", registry).Inc(1)
	metrics.GetOrRegisterGauge("connections_callers", registry).Update(3)
	w := httptest.NewRecorder()
	Handler(registry).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	body, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.Lines(string(body)) {
		if strings.HasPrefix(line, Prefix) {
			got = append(got, strings.TrimSpace(line))
		}
	}
	slices.Sort(got)
	want := []string{
		"nutmegwind_connections_callers 3",
		"nutmegwind_refused_budget_exhausted 1",
		"nutmegwind_requests 1",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("served metrics (-want +got):\n%s", diff)
	}
}
