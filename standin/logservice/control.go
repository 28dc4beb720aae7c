package logservice

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/standin/internal/fault"
)

// Mode is how calls are handled: "pass", "refuse" or "hang".
type Mode = fault.Mode

// Modes of the log service. ModeRefuse and ModeHang simulate an outage; ModePass ends
// it.
const (
	ModePass   = fault.Pass
	ModeRefuse = fault.Refuse
	ModeHang   = fault.Hang
)

// Control is the body of POST /control. Settings whose fields are absent do not
// change.
type Control struct {
	// Outage is "pass", "refuse" or "hang".
	Outage *Mode `json:"outage,omitempty"`
	// DelayMillis delays each call before it takes effect.
	DelayMillis *int64 `json:"delay_ms,omitempty"`
	// LoseNextAnswers is the number of appends from now on that take effect but
	// whose answers are lost.
	LoseNextAnswers *int `json:"lose_next,omitempty"`
	// LoseAnswerShare is the share of appends, in [0, 1], that take effect but
	// whose answers are lost. The seeded generator chooses them.
	LoseAnswerShare *float64 `json:"lose_share,omitempty"`
	// RetentionMillis is how long records are kept.
	RetentionMillis *int64 `json:"retention_ms,omitempty"`
	// AppendsPerSecond limits the append rate; zero means no limit.
	AppendsPerSecond *float64 `json:"appends_per_second,omitempty"`
}

// Apply applies c. If a field is invalid, it returns an error and changes nothing.
func (l *Log) Apply(c Control) error {
	if c.Outage != nil && !c.Outage.Valid() {
		return controlError("outage is not pass, refuse or hang")
	}
	if c.LoseAnswerShare != nil && (*c.LoseAnswerShare < 0 || *c.LoseAnswerShare > 1) {
		return controlError("lose_share is outside [0, 1]")
	}
	if c.RetentionMillis != nil && *c.RetentionMillis <= 0 {
		return controlError("retention_ms is not positive")
	}
	if c.Outage != nil {
		l.SetOutage(*c.Outage)
	}
	if c.DelayMillis != nil {
		l.SetDelay(time.Duration(*c.DelayMillis) * time.Millisecond)
	}
	if c.LoseNextAnswers != nil {
		l.LoseNextAnswers(*c.LoseNextAnswers)
	}
	if c.LoseAnswerShare != nil {
		l.LoseAnswerShare(*c.LoseAnswerShare)
	}
	if c.RetentionMillis != nil {
		l.SetRetention(time.Duration(*c.RetentionMillis) * time.Millisecond)
	}
	if c.AppendsPerSecond != nil {
		l.SetAppendRate(*c.AppendsPerSecond)
	}
	return nil
}

func controlError(message string) error {
	return &domain.Error{Kind: domain.KindBadRequest, Message: message, Remedy: "correct the field and send the control again"}
}

// SetOutage starts an outage; ModePass ends it.
func (l *Log) SetOutage(m Mode) { l.gate.SetMode(m) }

// SetDelay delays each call before it takes effect.
func (l *Log) SetDelay(d time.Duration) { l.gate.SetDelay(d) }

// LoseNextAnswers drops the answers to the next n appends. The appends still take
// effect.
func (l *Log) LoseNextAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

// LoseAnswerShare drops the answers to a share of appends, in [0, 1]. The appends
// still take effect.
func (l *Log) LoseAnswerShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostAnswerShare = share
}

// SetRetention changes how long records are kept.
func (l *Log) SetRetention(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = d
}

// SetAppendRate limits the appends per second of all streams together; zero means no
// limit.
func (l *Log) SetAppendRate(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendsPerSecond = perSecond
	l.nextAppend = time.Time{}
}
