//! Loading and checking of YAML settings files.
