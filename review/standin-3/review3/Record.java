package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/** The file that holds what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
  }

  /** Returns the seconds since the start. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String text, Object... values) {
    String line =
        String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, text, values);
    out.println(line);
    out.flush();
    if (System.getenv("VERBOSE") != null) {
      System.err.println(line);
    }
  }

  @Override
  public void close() {
    out.close();
  }
}
