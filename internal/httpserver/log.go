package httpserver

import (
	"fmt"
	"log/slog"
	"sync"
)

// setLoggerOnce guards the library's logger, which is global to the process.
var setLoggerOnce sync.Once

// nbioLogger forwards the library's log to slog. The library logs a write to a
// disconnected caller as an error, so errors are logged as warnings; its info level is
// logged as debug.
type nbioLogger struct{ log *slog.Logger }

// Debug implements logging.Logger.
func (l nbioLogger) Debug(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// Info implements logging.Logger.
func (l nbioLogger) Info(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// Warn implements logging.Logger.
func (l nbioLogger) Warn(format string, v ...any) { l.log.Warn(fmt.Sprintf(format, v...)) }

// Error implements logging.Logger.
func (l nbioLogger) Error(format string, v ...any) { l.log.Warn(fmt.Sprintf(format, v...)) }
