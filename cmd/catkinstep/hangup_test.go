package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/io/standin/ports"
	"catkinstep/platform/users"
)

const (
	testServiceTime = 700 * time.Millisecond
	testStartTime   = 15 * time.Second
	testStopTime    = 15 * time.Second
)

// signalStep is a signal, or a change of the settings file, after a pause.
type signalStep struct {
	after  time.Duration
	signal syscall.Signal // none if settings is set
	// settings replaces the settings file.
	settings string
}

// process is a catkinstep command that runs as a process of its own.
type process struct {
	*exec.Cmd
	settings string // file
	ended    chan error
}

func startCommand(t *testing.T, settings string, args ...string) *process {
	t.Helper()
	p := &process{settings: filepath.Join(t.TempDir(), "settings.yaml"), ended: make(chan error, 1)}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p.Cmd = exec.CommandContext(context.Background(), self, append(args, "--settings", p.settings)...)
	p.Env = append(os.Environ(), runMainEnv+"=1")
	if os.Getenv("CATKINSTEP_TEST_LOG") != "" {
		p.Stdout, p.Stderr = os.Stderr, os.Stderr
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	t.Cleanup(func() { _ = p.Process.Kill() })
	return p
}

// play sends the signals one after the other.
func (p *process) play(t *testing.T, steps []signalStep) {
	for _, s := range steps {
		time.Sleep(s.after)
		if s.settings != "" {
			if err := os.WriteFile(p.settings, []byte(s.settings), 0o600); err != nil {
				t.Error(err)
			}
			continue
		}
		if err := p.Process.Signal(s.signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
			t.Error(err)
		}
	}
}

// awaitEnd returns the error of the process, or one that says that it has not ended.
func (p *process) awaitEnd() error {
	select {
	case err := <-p.ended:
		return err
	case <-time.After(testStopTime):
		return errors.New("the process has not ended")
	}
}

// await calls ok until it returns true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testStartTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// edgeSite is a store, a backend server and a daemon as a process.
type edgeSite struct {
	*process
	callers string
}

func startEdge(t *testing.T) edgeSite {
	t.Helper()
	store := users.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Put("config", "main", json.RawMessage(`{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":3,"idleTimeoutS":15},
	"listeners":[{"host":"h.example","rules":[{"name":"book","routeType":"non_idempotent","targetLatencyS":1,"priority":1,"match":{"pathPrefix":"/book/"},"action":{"service":"s","timeoutS":4,"maxAttempts":2}}]}],
	"clusters":[{"name":"s","maxConns":50,"warmupS":1,"warmupPerS":50}]}`), nil)
	server := users.NewServer(users.ServerConfig{ID: "i-1", Service: "s", DataCentre: "duluth", Slots: 8, ServiceTime: testServiceTime}, store)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	callers, ready, mesh := ports.Free(t), ports.Free(t), ports.Free(t)
	site := edgeSite{callers: callers, process: startCommand(t, fmt.Sprintf(`{"nodeName":"d0","ip":"127.0.0.1","zone":"duluth","listen":{"frontend":%q,"ready":%q,"controlPlane":%q},
	"seeds":[%q],"bounds":["graceS=6"],"limits":{"memoryMb":284,"maxFds":4100},"platform":{"address":%q}}`, callers, ready, mesh, mesh, storeServer.Listener.Addr()), "edge")}
	await(t, "a booking", func() bool { return site.book(t.Context(), 0) == nil })
	return site
}

// book sends one booking, and returns an error unless its whole answer arrives.
func (s edgeSite) book(ctx context.Context, n int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/book/%d", s.callers, n), http.NoBody)
	if err != nil {
		return err
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", fmt.Sprintf("%s-%d", s.callers, n))
	req.Header.Set("Deadline-Ms", "4000")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // it has been read
	if _, err := io.ReadAll(resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}

// Guards against bookings that are cut while servers work on them: a SIGHUP during a planned stop ended the daemon.
func TestHangupDuringStop(t *testing.T) {
	const hup, term, interrupt = syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT
	const ms = time.Millisecond
	for name, steps := range map[string][]signalStep{
		"at once":                {{signal: term}, {after: ms, signal: hup}},
		"together, and again":    {{signal: term}, {signal: hup}, {after: 100 * ms, signal: hup}, {after: 100 * ms, signal: hup}, {after: 700 * ms, signal: hup}},
		"before and after":       {{signal: hup}, {after: ms, signal: hup}, {after: ms, signal: hup}, {after: ms, signal: term}, {after: ms, signal: hup}},
		"after two other ones":   {{signal: interrupt}, {after: 200 * ms, signal: term}, {after: 200 * ms, signal: hup}},
		"late":                   {{signal: term}, {after: 2500 * ms, signal: hup}},
		"unreadable settings":    {{signal: term}, {settings: "]["}, {signal: hup}, {after: 100 * ms, signal: hup}},
		"unreadable, and stop":   {{settings: "]["}, {signal: hup}, {after: 50 * ms, signal: term}, {signal: hup}},
		"the same stop, 3 times": {{signal: term}, {after: 50 * ms, signal: term}, {after: 50 * ms, signal: term}, {after: 50 * ms, signal: hup}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			Convey("All bookings are answered, and the daemon ends by itself", t, func() {
				site := startEdge(t)
				const bookings = 4
				answers := make(chan error, bookings)
				for i := range bookings {
					go func() { answers <- site.book(t.Context(), 1+i) }()
				}
				time.Sleep(testServiceTime / 3)
				site.play(t, steps)
				for range bookings {
					So(<-answers, ShouldBeNil)
				}
				So(site.awaitEnd(), ShouldBeNil)
			})
		})
	}
}

// Guards against a daemon of the own interface that ends at once on SIGHUP, running or stopping.
func TestHangupOfServe(t *testing.T) {
	Convey("It goes on, stops on SIGTERM, and ends by itself", t, func() {
		callers := ports.Free(t)
		p := startCommand(t, fmt.Sprintf("dataCentre: duluth\ncallers: %s\nmesh: %s\noperator: %s\nplatform: %s\n", callers, ports.Free(t), ports.Free(t), ports.Free(t)), "serve")
		isUp := func() bool {
			resp, err := http.Get("http://" + callers + "/")
			if err == nil {
				_ = resp.Body.Close()
			}
			return err == nil
		}
		await(t, "the daemon", isUp)
		p.play(t, []signalStep{{signal: syscall.SIGHUP}, {after: 100 * time.Millisecond, signal: syscall.SIGHUP}, {after: 100 * time.Millisecond, signal: syscall.SIGHUP}})
		So(isUp(), ShouldBeTrue)
		p.play(t, []signalStep{{signal: syscall.SIGTERM}, {signal: syscall.SIGHUP}, {after: 500 * time.Millisecond, signal: syscall.SIGHUP}})
		So(p.awaitEnd(), ShouldBeNil)
	})
}
