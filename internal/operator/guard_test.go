package operator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/gen/trestle/operator/v1/operatorv1connect"
	"galenatrestle/internal/settings"
)

func TestOnlyOperatorsGetThroughAndRefusalsAreCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	log := logrus.New()
	log.SetOutput(io.Discard)
	mux := http.NewServeMux()
	mux.Handle(NewHandler(Options{
		Operators: []settings.Operator{{Name: "erzsi", KeySHA256: config.HashKey("right")}},
		Log:       log, Registry: registry,
	}))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := operatorv1connect.NewOperatorServiceClient(server.Client(), server.URL)
	call := func(authorization string) connect.Code {
		request := connect.NewRequest(&operatorv1.CheckConfigRequest{Document: []byte("a: 1")})
		if authorization != "" {
			request.Header().Set("Authorization", authorization)
		}
		if _, err := client.CheckConfig(context.Background(), request); err != nil {
			return connect.CodeOf(err)
		}
		return 0
	}
	if got := call("Bearer right"); got != 0 {
		t.Errorf("the right key: %v", got)
	}
	for _, wrong := range []string{"", "right", "Basic right", "Bearer wrong", "Bearer " + config.HashKey("right")} {
		if got := call(wrong); got != connect.CodeUnauthenticated {
			t.Errorf("%q: %v", wrong, got)
		}
	}
	if got := refused(t, registry); got[refusedMissingKey] != 3 || got[refusedUnknownKey] != 2 {
		t.Errorf("counted %v", got)
	}
}

func refused(t *testing.T, registry *prometheus.Registry) map[refusedReason]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := make(map[refusedReason]float64)
	for _, family := range families {
		if family.GetName() != "trestle_operator_refused_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counts[refusedReason(labelValue(metric))] = metric.GetCounter().GetValue()
		}
	}
	return counts
}

func labelValue(metric *dto.Metric) string { return metric.GetLabel()[0].GetValue() }
