package main_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/host"
	"github.com/magnoliawall/magnoliawall/internal/loopback"
	"github.com/magnoliawall/magnoliawall/internal/settings"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/root"
)

const readyTimeout = 2 * time.Minute

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"magnolia": func() { os.Exit(int(root.Main(context.Background(), factory.New(), os.Args[1:]))) },
	})
}

// TestScripts runs each script against its own site: one process with the only
// replica, and the configuration of the Gota Justa example.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("MAGNOLIA_ADDRESS", startSite(t, env))
			env.Setenv("MAGNOLIA_OPERATOR", "ines")
			env.Setenv("XDG_CACHE_HOME", filepath.Join(env.WorkDir, "cache"))
			env.Setenv("XDG_CONFIG_HOME", filepath.Join(env.WorkDir, "settings"))
			example, err := os.ReadFile("../examples/gota-justa.jsonc")
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(env.WorkDir, "gota-justa.jsonc"), example, 0o600)
		},
	})
}

// startSite starts a site and returns its admin address.
func startSite(t *testing.T, env *testscript.Env) string {
	t.Helper()
	initial, err := filepath.Abs("../examples/gota-justa.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	own, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	address := func(port string) settings.Address { return settings.Address(net.JoinHostPort(own, port)) }
	target := httptest.NewServer(http.NotFoundHandler())
	env.Defer(target.Close)
	loaded := &settings.Settings{
		Node: "one", Region: "norte", FailureDomain: "norte-a", Service: "agenda",
		Target:     settings.Address(target.Listener.Addr().String()),
		Listen:     settings.Listen{Callers: address("7401"), Outbound: address("7402"), Peers: address("7403"), Admin: address("7404")},
		DataFolder: filepath.Join(env.WorkDir, "data"),
		Security:   settings.Security{PlaintextOnLoopback: true},
	}
	loaded.Replica = settings.Replica{
		Members:              []settings.Member{{Node: "one", Address: loaded.Listen.Peers, FailureDomain: "norte-a"}},
		InitialConfiguration: initial,
	}
	ctx, stop := context.WithCancel(context.Background())
	process := &host.Host{Settings: loaded, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	env.Defer(func() {
		stop()
		<-done
	})
	awaitReady(t, string(loaded.Listen.Admin))
	return string(loaded.Listen.Admin)
}

// awaitReady waits until the node runs the first version and its target is known.
func awaitReady(t *testing.T, address string) {
	t.Helper()
	client := &operator.Client{Base: "http://" + address, HTTP: http.DefaultClient}
	gomega.NewWithT(t).Eventually(func() bool {
		status, err := operator.Call[operator.Status](t.Context(), client, operator.ViewStatus, operator.Done{})
		if err != nil || len(status.Domains) != 1 || status.Domains[0].InForce != 1 {
			return false
		}
		targets, err := operator.Call[operator.Targets](t.Context(), client, operator.ListTargets, operator.Done{})
		return err == nil && len(targets.Targets) == 1
	}).WithTimeout(readyTimeout).Should(gomega.BeTrue())
}
