import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All entries are killed and start again; then all servers of a service fail 55 in 100 of their
 * requests, twice for 6.5 s.
 */
final class FailuresScenario extends Scenario {
  private static final double FAILING_SHARE = 0.55;
  private static final double MIN_SERVED = 0.25;
  private static final Duration RECOVERY = Duration.ofSeconds(15);
  private static final int CLIENTS = 60;
  private static final int MAX_TRIES = 3;

  private final AtomicInteger asked = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private volatile boolean failing;

  FailuresScenario(Rig rig, boolean trouble) {
    super(rig, trouble);
  }

  @Override
  boolean broken() throws Exception {
    rig.publish(State.of(1, 0));
    final List<Target> servers = register("reading", "reading", 6, 3, this::answerOrFail);
    startEntries(2);
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Thread.ofVirtual().start(() -> read(client));
    }
    Thread.sleep(15_000);
    final int askedBefore = asked.get();
    final int servedBefore = served.get();
    if (trouble) {
      killAndRestart();
    }
    final long recoveredNanos = System.nanoTime() + RECOVERY.toNanos();
    for (int spell = 0; spell < 2; spell++) {
      rig.log("servers fail from now: %s", trouble);
      failing = trouble;
      Thread.sleep(6_500);
      failing = false;
      rig.log("servers fail no longer");
      Thread.sleep(500);
    }
    sleep(TimeUnit.NANOSECONDS.toMillis(recoveredNanos - System.nanoTime()) + 1);
    final int askedInRecovery = asked.get();
    final int servedInRecovery = served.get();
    Thread.sleep(45_000);
    stopped = true;
    Thread.sleep(Caller.DEADLINE_MILLIS + 500);
    logStates();
    for (Target server : servers) {
      rig.log("%s, asked without an entry: %s", server.id, askDirectly(server));
    }
    double before = share(servedBefore, askedBefore);
    double after = share(served.get() - servedInRecovery, asked.get() - askedInRecovery);
    rig.log("before the final fault: asked %d, share served %.3f", askedBefore, before);
    rig.log(
        "later than recovery-s: asked %d, share served %.3f",
        asked.get() - askedInRecovery,
        after);
    return before >= MIN_SERVED && after < MIN_SERVED;
  }

  /** Sends a request to a server itself; returns the status or what went wrong. */
  private static String askDirectly(Target server) {
    Map<String, String> headers = Caller.head("direct-" + server.id);
    headers.put("X-Expect-Instance", server.id);
    try (Socket socket = new Socket()) {
      socket.connect(server.address(), 1_000);
      socket.setSoTimeout(Caller.DEADLINE_MILLIS);
      Rig.Http.write(socket.getOutputStream(), "GET /reads/x HTTP/1.1", headers, null);
      return String.valueOf(Rig.Http.read(socket.getInputStream()).status());
    } catch (IOException e) {
      return e.toString();
    }
  }

  private static double share(int part, int whole) {
    return (double) part / Math.max(1, whole);
  }

  /** The final fault kill_all: the processes of all machines are killed and start again. */
  private void killAndRestart() throws Exception {
    for (Rig.Entry entry : entries) {
      rig.kill(entry);
    }
    Thread.sleep(1_300);
    for (Rig.Entry entry : entries) {
      rig.start(entry);
    }
    for (Rig.Entry entry : entries) {
      rig.awaitReady(entry);
    }
  }

  private boolean answerOrFail(
      Target target, Rig.Http.Message head, InputStream in, OutputStream out, Socket socket)
      throws Exception {
    if (!failing || ThreadLocalRandom.current().nextDouble() >= FAILING_SHARE) {
      return answerLarge(target, head, in, out, socket);
    }
    target.answerSigned(out, head, 500, new byte[LARGE_ANSWER_BYTES]);
    return true;
  }

  /** Asks once a second; after a failure asks again, at another entry, twice at most. */
  private void read(int client) {
    sleep(ThreadLocalRandom.current().nextInt(1_000));
    for (int i = 0; !stopped; i++) {
      final long nextNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
      long deadlineNanos =
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Caller.DEADLINE_MILLIS);
      asked.incrementAndGet();
      for (int attempt = 0; attempt < MAX_TRIES && System.nanoTime() < deadlineNanos; attempt++) {
        String id = "read" + client + "-" + i + "-" + attempt;
        String result = get(entryOf(client + attempt), "/reads/x", id);
        rig.log("%s: %s", id, result);
        if (result.equals("200")) {
          served.incrementAndGet();
          break;
        }
        sleep(100);
      }
      sleep(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nextNanos - System.nanoTime())));
    }
  }
}
