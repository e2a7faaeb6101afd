package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The events of a run with their times, written to a file at the end; thread-safe. */
final class Record {
  private final long startNanos = System.nanoTime();
  private final List<String> lines = new ArrayList<>();

  /** Returns the seconds since the start of the run. */
  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void add(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    lines.add(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
  }

  synchronized void write(Path file) throws IOException {
    Files.write(file, lines);
  }
}
