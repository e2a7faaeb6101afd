package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upstream that crashes as soon as it begins to run a request whose path contains "crash". It is
 * back after some seconds, as a new lifetime with a new id.
 */
final class CrashingUpstream extends Upstream {
  private static final long BACK_AFTER_MILLIS = 3_000;
  private static final long SILENCE_MILLIS = 3 * Beats.INTERVAL_MILLIS;

  private final Lab lab;
  private final String name;
  private final int lifetime;
  private final List<Crash> crashes;

  /** A crash and the request that caused it. */
  record Crash(String requestId, double atSeconds) {}

  CrashingUpstream(
      Lab lab, String name, int lifetime, String service, String zone, List<Crash> crashes)
      throws IOException {
    super(lab.record, lab.nextIp(), name + "-" + lifetime, service, zone, 2, 120);
    this.lab = lab;
    this.name = name;
    this.lifetime = lifetime;
    this.crashes = crashes;
  }

  static List<Crash> newList() {
    return new CopyOnWriteArrayList<>();
  }

  @Override
  boolean handle(Http.Head head, InputStream in, OutputStream out)
      throws IOException, InterruptedException {
    String expected = head.field("x-expect-instance");
    if (!head.target().contains("crash") || !expected.equals(id)) {
      return super.handle(head, in, out);
    }
    synchronized (this) {
      if (left) {
        return false;
      }
      left = true;
    }
    crashes.add(new Crash(head.field("x-request-id"), record.now()));
    record.line("crash    %s ran %s and crashed", id, head.field("x-request-id"));
    close();
    Thread.ofVirtual().start(this::comeBack);
    return false;
  }

  private void comeBack() {
    try {
      Thread.sleep(BACK_AFTER_MILLIS);
      CrashingUpstream next =
          new CrashingUpstream(lab, name, lifetime + 1, service, zone, crashes);
      lab.add(next);
      record.line("back     %s", next.id);
      Beats.start(lab, next);
      Thread.sleep(SILENCE_MILLIS - BACK_AFTER_MILLIS);
      lab.store.delete(TOPIC, id);
    } catch (IOException | InterruptedException e) {
      record.line("failed   to start again: %s", e);
    }
  }
}
