package peer

const (
	// serviceName is the net/rpc name of the Handler's methods.
	serviceName = "Peer"
	// probeService answers probes of the connection itself.
	probeService = "Conn"
)

// methods gives the Handler's methods the form that net/rpc needs.
type methods struct{ h Handler }

// setReply stores a reply and makes its error fit for net/rpc.
func setReply[T any](into *T, reply T, err error) error {
	*into = reply
	return encodeError(err)
}

// Ping is Handler.Ping.
func (m *methods) Ping(args PingArgs, reply *PingReply) error {
	r, err := m.h.Ping(args)
	return setReply(reply, r, err)
}

// Forward is Handler.Forward.
func (m *methods) Forward(args ForwardArgs, reply *OutcomeReply) error {
	r, err := m.h.Forward(args)
	return setReply(reply, r, err)
}

// Lookup is Handler.Lookup.
func (m *methods) Lookup(args IDArgs, reply *OutcomeReply) error {
	r, err := m.h.Lookup(args)
	return setReply(reply, r, err)
}

// Cancel is Handler.Cancel.
func (m *methods) Cancel(args IDArgs, reply *OutcomeReply) error {
	r, err := m.h.Cancel(args)
	return setReply(reply, r, err)
}

// Draw is Handler.Draw.
func (m *methods) Draw(args DrawArgs, reply *DrawReply) error {
	r, err := m.h.Draw(args)
	return setReply(reply, r, err)
}

// Config is Handler.Config.
func (m *methods) Config(args ConfigArgs, reply *ConfigReply) error {
	r, err := m.h.Config(args)
	return setReply(reply, r, err)
}

// Explain is Handler.Explain.
func (m *methods) Explain(args IDArgs, reply *ExplainReply) error {
	r, err := m.h.Explain(args)
	return setReply(reply, r, err)
}

// Workers is Handler.Workers.
func (m *methods) Workers(_ Empty, reply *WorkersReply) error {
	r, err := m.h.Workers()
	return setReply(reply, r, err)
}

// Owners is Handler.Owners.
func (m *methods) Owners(_ Empty, reply *OwnersReply) error {
	r, err := m.h.Owners()
	return setReply(reply, r, err)
}

// Status is Handler.Status.
func (m *methods) Status(_ Empty, reply *StatusReply) error {
	r, err := m.h.Status()
	return setReply(reply, r, err)
}

// probeMethods shows that the connection carries messages in both directions.
type probeMethods struct{}

// Echo answers a probe.
func (*probeMethods) Echo(_ Empty, _ *Empty) error { return nil }
