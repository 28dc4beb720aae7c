package peer

const (
	// serviceName is the net/rpc service name of the Handler's methods.
	serviceName = "Peer"
	// probeService is the net/rpc service name of the connection probe.
	probeService = "Conn"
)

// methods adapts the Handler's methods to the signature that net/rpc requires.
type methods struct{ h Handler }

// setReply stores a reply and converts its error for net/rpc.
func setReply[T any](dst *T, reply T, err error) error {
	*dst = reply
	return encodeError(err)
}

// Ping calls Handler.Ping.
func (m *methods) Ping(args PingArgs, reply *PingReply) error {
	r, err := m.h.Ping(args)
	return setReply(reply, r, err)
}

// Forward calls Handler.Forward.
func (m *methods) Forward(args ForwardArgs, reply *OutcomeReply) error {
	r, err := m.h.Forward(args)
	return setReply(reply, r, err)
}

// Lookup calls Handler.Lookup.
func (m *methods) Lookup(args IDArgs, reply *OutcomeReply) error {
	r, err := m.h.Lookup(args)
	return setReply(reply, r, err)
}

// Cancel calls Handler.Cancel.
func (m *methods) Cancel(args IDArgs, reply *OutcomeReply) error {
	r, err := m.h.Cancel(args)
	return setReply(reply, r, err)
}

// Draw calls Handler.Draw.
func (m *methods) Draw(args DrawArgs, reply *DrawReply) error {
	r, err := m.h.Draw(args)
	return setReply(reply, r, err)
}

// Config calls Handler.Config.
func (m *methods) Config(args ConfigArgs, reply *ConfigReply) error {
	r, err := m.h.Config(args)
	return setReply(reply, r, err)
}

// Explain calls Handler.Explain.
func (m *methods) Explain(args IDArgs, reply *ExplainReply) error {
	r, err := m.h.Explain(args)
	return setReply(reply, r, err)
}

// Workers calls Handler.Workers.
func (m *methods) Workers(_ Empty, reply *WorkersReply) error {
	r, err := m.h.Workers()
	return setReply(reply, r, err)
}

// Owners calls Handler.Owners.
func (m *methods) Owners(_ Empty, reply *OwnersReply) error {
	r, err := m.h.Owners()
	return setReply(reply, r, err)
}

// Status calls Handler.Status.
func (m *methods) Status(_ Empty, reply *StatusReply) error {
	r, err := m.h.Status()
	return setReply(reply, r, err)
}

// probeMethods answers calls that check whether the connection carries messages
// in both directions.
type probeMethods struct{}

// Echo replies to a probe.
func (*probeMethods) Echo(_ Empty, _ *Empty) error { return nil }
