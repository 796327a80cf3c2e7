// Package platform holds the names of the users' platform that the stand-ins speak.
package platform

// Paths that control VMs serve; an upstream's id follows the last one.
const (
	PathPutConfig = "/-/Config.Put"
	PathGetConfig = "/-/Config.Get"
	PathHeartbeat = "/-/Instances.Heartbeat/"
)

// Paths that runners serve.
const (
	PathReport = "/-/report"
	PathOrder  = "/-/order"
)

// Header fields of requests and answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderModel          = "X-Model"
	HeaderTokens         = "X-Token-Usage"
	HeaderPrompt         = "X-Prompt-Prefix"
	HeaderInstanceID     = "X-Instance-Id"
	HeaderExpectInstance = "X-Expect-Instance"
	HeaderNotExecuted    = "X-Not-Executed"
	HeaderServerStamp    = "X-Server-Stamp"
	HeaderVersions       = "X-Weight-Versions"
)

// HeartbeatAck is the body of the answer to a heartbeat.
type HeartbeatAck struct {
	Endpoint string `json:"heartbeat_endpoint"`
}

// Order is the body of an order.
type Order struct {
	Operation  string  `json:"operation"`
	Model      string  `json:"model"`
	Adapter    string  `json:"adapter"`
	Holder     string  `json:"holder"`
	FenceToken *uint64 `json:"fence_token"`
	Expected   *uint64 `json:"expected"`
}
