package client

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// DefaultTimeout bounds a call at one node. It is above the 10 s after
	// which a node answers with its own error.
	DefaultTimeout = 12 * time.Second
	// dialTimeout bounds the making of a connection, so that a node that is
	// gone costs little of the deadline.
	dialTimeout = 2 * time.Second
	// responseMargin is the time beyond the deadline of an urgent request in
	// which its outcome can arrive.
	responseMargin = 1500 * time.Millisecond
	// maxResponseBytes bounds an answer. The longest are histories and lists of
	// workers.
	maxResponseBytes = 64 << 20
)

// Options configure a Client.
type Options struct {
	// Nodes are the base URLs of entry nodes in the order in which they are
	// tried, for example "http://127.0.0.1:8080"; "http://" may be left out.
	Nodes []string
	// Token is the operator token; empty for none.
	Token string
	// Timeout bounds a call at one node; zero for DefaultTimeout.
	Timeout time.Duration
}

// Client calls entry nodes. It is safe for concurrent use.
type Client struct {
	nodes   []string
	token   string
	timeout time.Duration
	http    *http.Client
}

// New returns a client. It returns an error of kind KindBadRequest for a
// missing or malformed node URL.
func New(o Options) (*Client, error) {
	if len(o.Nodes) == 0 {
		return nil, invalidNodeError("no node is named")
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Timeout < 0 {
		return nil, &domain.Error{Kind: domain.KindBadRequest, Message: "the time-out is negative", Remedy: "set --timeout to a positive duration such as 10s"}
	}
	c := &Client{token: o.Token, timeout: o.Timeout, http: newHTTPClient()}
	for _, text := range o.Nodes {
		base, err := parseBaseURL(text)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, base)
	}
	return c, nil
}

// Nodes returns the base URLs.
func (c *Client) Nodes() []string { return c.nodes }

// ForNode returns a client that calls only the given one of Nodes.
func (c *Client) ForNode(node string) *Client {
	single := *c
	single.nodes = []string{node}
	return &single
}

// newHTTPClient returns a client that never repeats a call by itself: it
// follows no redirects and reuses no connections, which net/http would repeat
// some calls on. It uses no proxy.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return dialer.DialContext(ctx, network, address)
			},
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func parseBaseURL(text string) (string, error) {
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", invalidNodeError(fmt.Sprintf("node URL %q is malformed", text))
	}
	if strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.Fragment != "" {
		return "", invalidNodeError(fmt.Sprintf("node URL %q has more than scheme and address", text))
	}
	return u.Scheme + "://" + u.Host, nil
}

func invalidNodeError(message string) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: message,
		Remedy:  "name each node with --node http://ip:port or all of them in BASILFERRY_NODES",
	}
}
