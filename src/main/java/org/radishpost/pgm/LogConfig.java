package org.radishpost.pgm;

import java.util.Locale;
import org.apache.logging.log4j.core.config.Configurator;
import org.radishpost.settings.NodeSettings.LogFormat;

/** Sets the form of the log of this process. */
final class LogConfig {
  private static final String PROPERTY = "radishpost.log";

  private LogConfig() {}

  /** Writes the log in the given form from now on, also if something was logged before. */
  static void setFormat(LogFormat format) {
    System.setProperty(PROPERTY, format.name().toLowerCase(Locale.ROOT));
    Configurator.reconfigure();
  }
}
