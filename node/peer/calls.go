package peer

import "context"

// Caller makes calls to one peer. Each call returns when its context ends.
// Errors are or wrap *domain.Error; IsNotSent and IsNoReply distinguish them.
// *Client implements Caller.
type Caller interface {
	Ping(ctx context.Context, args PingArgs) (PingReply, error)
	Forward(ctx context.Context, args ForwardArgs) (OutcomeReply, error)
	Lookup(ctx context.Context, args IDArgs) (OutcomeReply, error)
	Cancel(ctx context.Context, args IDArgs) (OutcomeReply, error)
	Draw(ctx context.Context, args DrawArgs) (DrawReply, error)
	Config(ctx context.Context, args ConfigArgs) (ConfigReply, error)
	Explain(ctx context.Context, args IDArgs) (ExplainReply, error)
	Workers(ctx context.Context) (WorkersReply, error)
	Owners(ctx context.Context) (OwnersReply, error)
	Status(ctx context.Context) (StatusReply, error)
}

// invoke makes one call of the Peer service.
func invoke[T any](ctx context.Context, c *Client, method string, args any) (T, error) {
	reply := new(T)
	if err := c.call(ctx, serviceName+"."+method, args, reply); err != nil {
		return *new(T), err
	}
	return *reply, nil
}

// Ping implements Caller. If no reply arrives within PingTimeout, the
// connection is closed.
func (c *Client) Ping(ctx context.Context, args PingArgs) (PingReply, error) {
	reply := new(PingReply)
	if err := c.ping(ctx, args, reply); err != nil {
		return PingReply{}, err
	}
	return *reply, nil
}

// Forward implements Caller. It checks the answer's request id, length and
// checksum.
func (c *Client) Forward(ctx context.Context, args ForwardArgs) (OutcomeReply, error) {
	reply, err := invoke[OutcomeReply](ctx, c, "Forward", args)
	if err != nil {
		return OutcomeReply{}, err
	}
	if args.Draw {
		err = reply.checkReserved(args.Shard)
	} else {
		err = reply.check(args.Task.ID)
	}
	return discardOnError(reply, err)
}

// Lookup implements Caller. It checks the answer's request id, length and
// checksum.
func (c *Client) Lookup(ctx context.Context, args IDArgs) (OutcomeReply, error) {
	reply, err := invoke[OutcomeReply](ctx, c, "Lookup", args)
	if err != nil {
		return OutcomeReply{}, err
	}
	return discardOnError(reply, reply.check(args.ID))
}

// Cancel implements Caller. It checks the answer's request id, length and
// checksum.
func (c *Client) Cancel(ctx context.Context, args IDArgs) (OutcomeReply, error) {
	reply, err := invoke[OutcomeReply](ctx, c, "Cancel", args)
	if err != nil {
		return OutcomeReply{}, err
	}
	return discardOnError(reply, reply.check(args.ID))
}

// discardOnError returns no part of the reply if err is not nil.
func discardOnError(reply OutcomeReply, err error) (OutcomeReply, error) {
	if err != nil {
		return OutcomeReply{}, err
	}
	return reply, nil
}

// Draw implements Caller.
func (c *Client) Draw(ctx context.Context, args DrawArgs) (DrawReply, error) {
	return invoke[DrawReply](ctx, c, "Draw", args)
}

// Config implements Caller.
func (c *Client) Config(ctx context.Context, args ConfigArgs) (ConfigReply, error) {
	return invoke[ConfigReply](ctx, c, "Config", args)
}

// Explain implements Caller.
func (c *Client) Explain(ctx context.Context, args IDArgs) (ExplainReply, error) {
	return invoke[ExplainReply](ctx, c, "Explain", args)
}

// Workers implements Caller.
func (c *Client) Workers(ctx context.Context) (WorkersReply, error) {
	return invoke[WorkersReply](ctx, c, "Workers", Empty{})
}

// Owners implements Caller.
func (c *Client) Owners(ctx context.Context) (OwnersReply, error) {
	return invoke[OwnersReply](ctx, c, "Owners", Empty{})
}

// Status implements Caller.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return invoke[StatusReply](ctx, c, "Status", Empty{})
}
