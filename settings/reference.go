package settings

import "gypsumbank/inifile"

// Reference returns the keys of all settings: those of a gateway or an agent, which run on the users' platform, and those
// of an entry or a sidecar in an own deployment.
func Reference() (gatewayAgent, entrySidecar []inifile.Key, err error) {
	gatewayAgent, err = collectKeys("[gateway]\n[agent]\n", (*Config).readGatewayOrAgent)
	if err != nil {
		return nil, nil, err
	}
	entrySidecar, err = collectKeys("[entry]\n[sidecar]\n", (*Config).readEntryOrSidecar)
	return gatewayAgent, entrySidecar, err
}

// collectKeys returns the keys that read looks up in a file with the given empty sections.
func collectKeys(sections string, read func(*Config, *inifile.File)) ([]inifile.Key, error) {
	file, err := inifile.New("reference", []byte(sections))
	if err != nil {
		return nil, err
	}
	readLog(file)
	read(&Config{}, file)
	return file.Keys(), nil
}
