package httpserver

import (
	"fmt"
	"log/slog"
	"sync"
)

// logOnce guards the library's logger, which is one for the whole process.
var logOnce sync.Once

// libraryLog passes the library's log on. A caller's leaving shows there as a failed
// write, so its errors are no more than warnings here.
type libraryLog struct{ log *slog.Logger }

// Debug implements logging.Logger.
func (l libraryLog) Debug(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// Info implements logging.Logger.
func (l libraryLog) Info(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// Warn implements logging.Logger.
func (l libraryLog) Warn(format string, v ...any) { l.log.Warn(fmt.Sprintf(format, v...)) }

// Error implements logging.Logger.
func (l libraryLog) Error(format string, v ...any) { l.log.Warn(fmt.Sprintf(format, v...)) }
