package daemon

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/settings"
)

func readReference(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../docs/REFERENCE.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestReference_ErrorKindRows(t *testing.T) {
	is := is.New(t)
	text := readReference(t)
	for _, k := range errkind.Kinds() {
		is.True(strings.Contains(text, "| `"+string(k)+"` | ")) // the reference has a row for the kind
	}
}

func TestReference_SettingNames(t *testing.T) {
	text := readReference(t)
	settingsType := reflect.TypeFor[settings.Settings]()
	for i := range settingsType.NumField() {
		table := settingsType.Field(i)
		for j := range table.Type.NumField() {
			name := table.Tag.Get("toml") + "." + table.Type.Field(j).Tag.Get("toml")
			if !strings.Contains(text, "`"+name+"`") {
				t.Errorf("setting %s is missing from the reference", name)
			}
		}
	}
}
