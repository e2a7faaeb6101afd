package org.radishpost.pgm;

import java.util.Locale;
import org.apache.logging.log4j.core.config.Configurator;
import org.radishpost.settings.NodeSettings.LogFormat;

/** Configures the log of this process. */
final class LogConfig {
  private static final String PROPERTY = "radishpost.log";

  private LogConfig() {}

  /** Sets the format of the log. Also takes effect if something has already been logged. */
  static void setFormat(LogFormat format) {
    System.setProperty(PROPERTY, format.name().toLowerCase(Locale.ROOT));
    Configurator.reconfigure();
  }
}
