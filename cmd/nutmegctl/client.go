package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

const callTimeout = 15 * time.Second

// client calls the operators' API of the instances.
type client struct {
	options
	http *http.Client
	in   *os.File // where questions are answered
}

func newClient(o options) (*client, error) {
	c := &client{options: o, http: &http.Client{Timeout: callTimeout}, in: os.Stdin}
	if o.ca == "" {
		return c, nil
	}
	pem, err := os.ReadFile(o.ca)
	if err != nil {
		return nil, cli.Usagef("file %q of -ca is unreadable: %v", o.ca, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, cli.Usagef("file %q of -ca holds no certificate in PEM", o.ca)
	}
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}}
	return c, nil
}

func (c *client) servers() []string {
	return strings.Split(c.server, ",")
}

// call sends a request to one instance and decodes its answer.
func (c *client) call(ctx context.Context, server, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("instance %s does not answer; name another with -server: %w", server, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp.Status, answer)
	}
	return json.Unmarshal(answer, into)
}

// refusedError is a typed refusal of an instance.
type refusedError struct {
	Kind    string           `json:"kind"`
	Message string           `json:"message"`
	Plan    *nutmegconf.Plan `json:"plan"` // offered in place of a stale one
}

// Error names the kind and the message.
func (e *refusedError) Error() string {
	return e.Kind + ": " + e.Message
}

func refused(status string, answer []byte) error {
	var body struct {
		Error *refusedError `json:"error"`
	}
	if json.Unmarshal(answer, &body) != nil || body.Error == nil || body.Error.Message == "" {
		return fmt.Errorf("instance answered %s: %s", status, answer)
	}
	return body.Error
}
