// Package platform holds the names of the users' platform that the stand-ins speak.
package platform

// Paths that control serves; an upstream's id follows the last two.
const (
	PathPutConfig = "/-/Config.Put"
	PathHeartbeat = "/-/Instances.Heartbeat/"
	PathLeave     = "/-/Instances.Leave/"
)

// Header fields of requests and answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderInstanceID     = "X-Instance-Id"
	HeaderExpectInstance = "X-Expect-Instance"
	HeaderNotExecuted    = "X-Not-Executed"
	HeaderServerStamp    = "X-Server-Stamp"
)

// HeartbeatAck is the body of the answer to a heartbeat.
type HeartbeatAck struct {
	Endpoint string `json:"heartbeat_endpoint"`
}
