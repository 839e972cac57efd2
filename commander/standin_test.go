package commander_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/commander"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/engine"
	"clementineramp/loader"
	"clementineramp/subscriber"
)

// startStandins runs a standin command until the test ends and returns the lines that it prints before "ready".
// The cleanup fails the test if the command does not stop cleanly when its context ends.
func startStandins(t *testing.T, args ...string) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	var stderr bytes.Buffer
	code := make(chan int, 1)
	go func() {
		code <- commander.Run(ctx, append([]string{"clementinectl", "standin"}, args...), w, &stderr)
		w.Close()
	}()
	t.Cleanup(func() {
		cancel()
		require.Equal(t, commander.ExitOK, <-code)
		require.Empty(t, stderr.String())
	})
	var printed []string
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if scanner.Text() == "ready" {
			return printed
		}
		printed = append(printed, scanner.Text())
	}
	cancel()
	t.Fatalf("not ready after %q: %s", printed, stderr.String())
	return nil
}

// addressOf returns the address at the end of a line that a standin command printed.
func addressOf(t *testing.T, line, prefix string) string {
	t.Helper()
	address, ok := strings.CutPrefix(line, prefix+" listens on ")
	require.True(t, ok, line)
	return address
}

// checkPlatform reads from a platform everything that a process reads at its start.
func checkPlatform(t *testing.T, address string) (*configurer.Snapshot, []subscriber.Host) {
	t.Helper()
	client := subscriber.New(subscriber.Config{Addresses: []string{address}})
	manifest, err := client.Value(t.Context(), configurer.ManifestKey)
	require.NoError(t, err)
	snapshot, err := configurer.Load(manifest.Data, func(d configurer.Digest) ([]byte, bool) {
		part, err := client.Value(t.Context(), configurer.PartKey(d))
		return part.Data, err == nil
	})
	require.NoError(t, err)
	hosts, err := client.Hosts(t.Context())
	require.NoError(t, err)
	return snapshot, hosts.Hosts
}

func engineStatus(t *testing.T, address string) engine.Status {
	t.Helper()
	resp, err := http.Get("http://" + address + "/v1/status")
	require.NoError(t, err)
	defer resp.Body.Close()
	var s engine.Status
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

func TestStandinPlatform(t *testing.T) {
	dir := filepath.Join("..", "examples", "vassmattan")
	printed := startStandins(t, "platform", "--listen", "127.0.0.1:0",
		"--sheet", filepath.Join(dir, "sheet.csv"), "--hosts", filepath.Join(dir, "hosts.json"))
	require.Len(t, printed, 1)
	snapshot, hosts := checkPlatform(t, addressOf(t, printed[0], "platform with version 1"))
	require.Equal(t, 10, snapshot.OrganisationCount())
	require.Len(t, hosts, 25)
}

// Guards against a platform that starts without a source, or silently serves one of two.
func TestStandinPlatformSource(t *testing.T) {
	for _, source := range [][]string{nil, {"--sheet", "sheet.csv", "--values", "published"}} {
		var stdout, stderr bytes.Buffer
		args := append([]string{"clementinectl", "standin", "platform", "--listen", "127.0.0.1:0", "--hosts", "hosts.json"}, source...)
		require.Equal(t, commander.ExitUsage, commander.Run(t.Context(), args, &stdout, &stderr))
		require.Contains(t, stderr.String(), "one of --sheet and --values")
	}
}

func TestStandinEngine(t *testing.T) {
	printed := startStandins(t, "engine", "--listen", "127.0.0.1:0", "--model", "m", "--version", "v", "--name", "e-1", "--slots", "3")
	require.Len(t, printed, 1)
	address := addressOf(t, printed[0], "engine e-1")
	status := engineStatus(t, address)
	require.True(t, status.Ready)
	require.Equal(t, "m", status.Model)
	require.Equal(t, "v", status.Version)
	require.Equal(t, 3, status.Slots)

	body, err := json.Marshal(encoder.ChatRequest{Model: "m", MaxTokens: 3, Stream: true, RequestID: "r", Messages: []encoder.Message{{Role: "user", Content: "hi"}}})
	require.NoError(t, err)
	resp, err := http.Post("http://"+address+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(answer), "[DONE]")
}

func TestStandinService(t *testing.T) {
	printed := startStandins(t, "service", "--listen", "127.0.0.1:0", "--name", "s-1")
	require.Len(t, printed, 1)
	resp, err := http.Post("http://"+addressOf(t, printed[0], "service s-1")+"/orders", "application/json", strings.NewReader("{}"))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusCreated, resp.StatusCode)
}

// Guards against an example whose stand-ins listen on other addresses than its settings name.
func TestStandinAll(t *testing.T) {
	for i, name := range []string{"vassmattan", "gridleaf"} {
		t.Run(name, func(t *testing.T) {
			dir := copyExample(t, name, testLoopback(i))
			var addresses []string
			t.Run("run", func(t *testing.T) {
				printed := startStandins(t, "all", dir)
				paths, err := filepath.Glob(filepath.Join(dir, "settings", "*.json"))
				require.NoError(t, err)
				for _, path := range paths {
					s, err := loader.Check(path)
					require.NoError(t, err)
					snapshot, hosts := checkPlatform(t, s.Platform[0].String())
					require.Len(t, hosts, len(paths))
					if s.Upstream == nil {
						continue
					}
					address := s.Upstream.Address.String()
					addresses = append(addresses, address)
					require.Contains(t, printed, fmt.Sprintf("%s %s listens on %s", s.Upstream.Kind, s.Name, address))
					if s.Upstream.Kind != loader.KindEngine {
						continue
					}
					pool, ok := snapshot.Pool(s.Upstream.Name)
					require.True(t, ok)
					status := engineStatus(t, address)
					require.Equal(t, pool.Model, status.Model)
					require.Equal(t, pool.Version, status.Version)
					require.Equal(t, s.Upstream.Slots, status.Slots)
				}
				require.Len(t, printed, 1+len(addresses))
			})
			for _, a := range addresses {
				_, err := net.Dial("tcp", a)
				require.Error(t, err, "%s still listens", a)
			}
		})
	}
}

// testLoopback returns an address of 127.0.0.0/8 that depends on the process id, so that the fixed ports of an example
// are free when several test processes run concurrently.
func testLoopback(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 32*(i+1)+(pid>>16)&31, pid>>8&255, pid&255)
}

// copyExample copies an example into a temporary directory and replaces 127.0.0.1 with address.
func copyExample(t *testing.T, name, address string) string {
	t.Helper()
	source, dir := os.DirFS(filepath.Join("..", "examples", name)), t.TempDir()
	require.NoError(t, fs.WalkDir(source, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		target := filepath.Join(dir, path)
		if entry.IsDir() {
			return os.MkdirAll(target, 0o755)
		}
		data, err := fs.ReadFile(source, path)
		if err != nil {
			return err
		}
		return os.WriteFile(target, bytes.ReplaceAll(data, []byte("127.0.0.1"), []byte(address)), 0o644)
	}))
	return dir
}
