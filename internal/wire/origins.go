package wire

// Add appends the key of a stream with the version that began it.
func (l *OriginList) Add(key uint64, software string) {
	version := len(l.Software)
	for i := len(l.Software) - 1; i >= 0; i-- {
		if l.Software[i] == software {
			version = i
			break
		}
	}
	if version == len(l.Software) {
		l.Software = append(l.Software, software)
	}
	l.Keys = append(l.Keys, key)
	l.Versions = append(l.Versions, uint32(version))
}

// Each calls f for each key in order. Keys without a version are left out.
func (l *OriginList) Each(f func(key uint64, software string)) {
	for i, key := range l.GetKeys() {
		if i < len(l.Versions) && int(l.Versions[i]) < len(l.Software) {
			f(key, l.Software[l.Versions[i]])
		}
	}
}
