package intake

import (
	"sort"
	"strings"
	"sync/atomic"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/platform"
)

// routeTable is the immutable index of the routes and accounts of one configuration.
type routeTable struct {
	version int64
	limits  platform.RequestLimits
	// hosts maps a lower-case host name to its routes, the longest path prefix first.
	hosts map[string][]*platform.Route
	// accounts is nil if accounts are disabled.
	accounts *account.Directory
	// conflicts are the keys that two accounts have.
	conflicts []account.Conflict
}

func newRouteTable(c *platform.OperatorConfig) *routeTable {
	t := &routeTable{version: c.Version, limits: c.Limits, hosts: map[string][]*platform.Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	if c.HasAccounts {
		t.accounts, t.conflicts = account.NewDirectory(c.Accounts)
	}
	return t
}

// find returns the route of a request, or nil.
func (t *routeTable) find(host, path string) *platform.Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Routes holds the configuration in force. Its version never decreases while the
// process runs.
type Routes struct{ current atomic.Pointer[routeTable] }

// Set puts a configuration in force if it is newer than the current one, and
// reports whether it did.
func (r *Routes) Set(c *platform.OperatorConfig) bool {
	next := newRouteTable(c)
	for {
		now := r.current.Load()
		if now != nil && now.version >= next.version {
			return false
		}
		if r.current.CompareAndSwap(now, next) {
			return true
		}
	}
}

// Version returns the version in force, or 0 before the first configuration.
func (r *Routes) Version() int64 {
	if t := r.current.Load(); t != nil {
		return t.version
	}
	return 0
}

// Accounts returns the accounts in force, or nil if accounts are disabled or no
// configuration has been read.
func (r *Routes) Accounts() *account.Directory {
	if t := r.current.Load(); t != nil {
		return t.accounts
	}
	return nil
}

// KeyConflicts returns the keys that two accounts of the configuration in force have.
func (r *Routes) KeyConflicts() []account.Conflict {
	if t := r.current.Load(); t != nil {
		return t.conflicts
	}
	return nil
}

// Limits returns the request limits in force, or zero values before the first
// configuration.
func (r *Routes) Limits() platform.RequestLimits {
	if t := r.current.Load(); t != nil {
		return t.limits
	}
	return platform.RequestLimits{}
}
