package settings

import "gypsumbank/inifile"

// Reference describes the settings of the processes on the users' platform and of those of an own deployment.
func Reference() (site, deployment []inifile.Key, err error) {
	site, err = keysOf("[gateway]\n[agent]\n", (*Config).readSite)
	if err != nil {
		return nil, nil, err
	}
	deployment, err = keysOf("[entry]\n[sidecar]\n", (*Config).readDeployment)
	return site, deployment, err
}

// keysOf returns the keys that are read from a file with empty sections.
func keysOf(sections string, read func(*Config, *inifile.File)) ([]inifile.Key, error) {
	file, err := inifile.New("reference", []byte(sections))
	if err != nil {
		return nil, err
	}
	logging(file)
	read(&Config{}, file)
	return file.Keys(), nil
}
