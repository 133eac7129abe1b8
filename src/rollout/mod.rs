//! Roll-out shares and detection of a version that turned bad.
