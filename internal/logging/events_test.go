package logging

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCatalogueNumbersAreUniqueAndOrdered(t *testing.T) {
	for i := 1; i < len(Catalogue); i++ {
		assert.Less(t, Catalogue[i-1].Number, Catalogue[i].Number)
	}
}

func TestCatalogueIsInStepWithDocs(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	for _, event := range Catalogue {
		row := "| " + event.Number + " | " + event.Level.String() + " | " + event.Message + " | " + event.Meaning + " |"
		assert.Contains(t, string(data), row)
	}
	assert.Equal(t, len(Catalogue), strings.Count(string(data), "\n| PV"), "docs/EVENTS.md lists a different number of events")
}
