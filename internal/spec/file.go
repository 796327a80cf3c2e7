package spec

// file is the TOML structure of an applied file. Numbers are signed, so that a negative
// one is reported as out of bounds and not as a wrong type. Required numbers are pointers,
// to distinguish a missing one from zero.
type file struct {
	Name       string         `toml:"name"`
	Version    *int64         `toml:"version"`
	Limits     limitsTable    `toml:"limits"`
	Models     []modelTable   `toml:"models"`
	Adapters   []adapterTable `toml:"adapters"`
	Services   []serviceTable `toml:"services"`
	Quarantine struct {
		Clear []string `toml:"clear"`
	} `toml:"quarantine"`
}

type limitsTable struct {
	QueuePerModel   *int64 `toml:"queue_per_model"`
	LedgerWindow    string `toml:"ledger_window"`
	DefaultDeadline string `toml:"default_deadline"`
	MaxDeadline     string `toml:"max_deadline"`
}

type modelTable struct {
	Name        string      `toml:"name"`
	Version     string      `toml:"version"`
	Replicas    *int64      `toml:"replicas"`
	MinReplicas int64       `toml:"min_replicas"`
	MemoryMiB   *int64      `toml:"memory_mib"`
	Zones       []string    `toml:"zones"`
	IdleAfter   string      `toml:"idle_after"`
	Warm        []warmTable `toml:"warm"`
}

type warmTable struct {
	From     string `toml:"from"`
	Until    string `toml:"until"`
	Replicas int64  `toml:"replicas"`
}

type adapterTable struct {
	Name      string `toml:"name"`
	Model     string `toml:"model"`
	Version   string `toml:"version"`
	MemoryMiB *int64 `toml:"memory_mib"`
}

type serviceTable struct {
	Name       string `toml:"name"`
	Idempotent bool   `toml:"idempotent"`
}

// allowedFields lists the keys of each table with their types, by the table's dotted path,
// for the errors about unknown and mistyped fields.
var allowedFields = map[string][]fieldDoc{
	"": {
		{"name", "a string"}, {"version", "a whole number"}, {"limits", "a table"},
		{"models", "an array of tables"}, {"adapters", "an array of tables"},
		{"services", "an array of tables"}, {"quarantine", "a table"},
	},
	"limits": {
		{"queue_per_model", "a whole number"}, {"ledger_window", durationDoc},
		{"default_deadline", durationDoc}, {"max_deadline", durationDoc},
	},
	"models": {
		{"name", "a string"}, {"version", "a string"}, {"replicas", "a whole number"},
		{"min_replicas", "a whole number"}, {"memory_mib", "a whole number"},
		{"zones", "an array of strings"}, {"idle_after", durationDoc},
		{"warm", "an array of tables"},
	},
	"models.warm": {
		{"from", timeOfDayDoc}, {"until", timeOfDayDoc}, {"replicas", "a whole number"},
	},
	"adapters": {
		{"name", "a string"}, {"model", "a string"}, {"version", "a string"},
		{"memory_mib", "a whole number"},
	},
	"services":   {{"name", "a string"}, {"idempotent", "true or false"}},
	"quarantine": {{"clear", "an array of strings"}},
}

const (
	durationDoc  = `a string such as "30s", "5m" or "24h"`
	timeOfDayDoc = `a string "HH:MM" in UTC`
)

// fieldDoc describes a key for error messages.
type fieldDoc struct {
	name string
	typ  string
}
