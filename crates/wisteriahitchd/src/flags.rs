//! Command-line flags of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves a wisteriahitch site on one entry VM.
    cmd wisteriahitchd {
        /// Settings file.
        required --settings path: PathBuf
        /// Check the settings file and exit.
        optional --check
    }
}
