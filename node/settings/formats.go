package settings

import (
	"net/netip"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/basilferry/basilferry/core/domain"
)

// tokenFormat is the format of secrets.
const tokenFormat = "token"

// formats are the string formats that the schema refers to.
var formats = []*jsonschema.Format{
	textFormat("name", checkName),
	textFormat("node-id", checkNodeID),
	textFormat("ip-port", checkIPPort),
	textFormat("http-ip-port", checkHTTPIPPort),
	textFormat(tokenFormat, checkToken),
	textFormat("settings-duration", checkDuration),
	textFormat("positive-duration", checkPositiveDuration),
}

// textFormat returns a format that checks strings. Values of another type pass;
// the schema's type rule reports them.
func textFormat(name string, check func(string) *domain.Error) *jsonschema.Format {
	validate := func(value any) error {
		text, ok := value.(string)
		if !ok {
			return nil
		}
		if err := check(text); err != nil {
			return err
		}
		return nil
	}
	return &jsonschema.Format{Name: name, Validate: validate}
}

func formatError(message, remedy string) *domain.Error {
	return &domain.Error{Kind: domain.KindBadRequest, Message: message, Remedy: remedy}
}

// checkName refuses '-' and '/', because request ids and stream names are
// joined with them.
func checkName(text string) *domain.Error {
	if text == "" || strings.ContainsAny(text, "-/ \t\n") {
		return formatError("is not a name", "use letters, digits, '.' and '_' only")
	}
	return nil
}

func checkNodeID(text string) *domain.Error {
	if text == "" || strings.ContainsAny(text, " \t\n") {
		return formatError("is not a node id", "use a name without spaces")
	}
	return nil
}

func checkIPPort(text string) *domain.Error {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return formatError("is not an IP address with a port", `write "ip:port", for example "127.0.0.1:8080"; host names are not resolved`)
	}
	if addr.Port() == 0 {
		return formatError("has port 0", "set the port that the other nodes use")
	}
	if addr.Addr().IsUnspecified() {
		return formatError("is not the address of one interface", "set the address that the other nodes use")
	}
	return nil
}

func checkHTTPIPPort(text string) *domain.Error {
	rest, ok := strings.CutPrefix(text, "http://")
	if !ok || checkIPPort(rest) != nil {
		return formatError("is not a service address", `write "http://ip:port" without a path, for example "http://127.0.0.1:9000"`)
	}
	return nil
}

func checkToken(text string) *domain.Error {
	for _, r := range text {
		if r <= ' ' || r > '~' {
			return formatError("has a character that is not allowed in a header", "use printable ASCII characters without spaces")
		}
	}
	return nil
}

func checkDuration(text string) *domain.Error {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return formatError("is not a duration", durationRemedy)
	}
	return nil
}

func checkPositiveDuration(text string) *domain.Error {
	if err := checkDuration(text); err != nil {
		return err
	}
	if d, _ := time.ParseDuration(text); d == 0 {
		return formatError("is zero", durationRemedy)
	}
	return nil
}
