package org.radishpost.config;

/** The names of the streams that the configuration uses on the platform's log. */
public final class ConfigStreams {
  /** The stream of changes; the offset of a record is its version. */
  public static final String CONFIG = "config";

  /** The stream of snapshots of the whole state. */
  public static final String SNAPSHOT = "config-snapshot";

  private ConfigStreams() {}
}
