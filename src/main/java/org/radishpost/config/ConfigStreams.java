package org.radishpost.config;

/** The names of the log streams that store the configuration. */
public final class ConfigStreams {
  /** The stream of changes. The offset of a record is the version of the configuration. */
  public static final String CONFIG = "config";

  /** The stream of snapshots of the complete state. */
  public static final String SNAPSHOT = "config-snapshot";

  private ConfigStreams() {}
}
