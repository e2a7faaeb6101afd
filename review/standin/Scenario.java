import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** What the scripts of the cases have in common: entries, servers, callers and the check. */
abstract class Scenario {
  static final int LARGE_ANSWER_BYTES = 400_000;
  static final double READ_TIMEOUT_SECONDS = 1.0;
  static final double WRITE_TIMEOUT_SECONDS = 1.2;
  private static final double EXTRA_SECONDS = 0.5;
  private static final int MIN_UNANSWERED = 8;

  final Rig rig;

  /** Whether the disruption happens. */
  final boolean trouble;

  final List<Rig.Entry> entries = new ArrayList<>();
  final List<Caller> callers = new ArrayList<>();
  volatile boolean stopped;

  Scenario(Rig rig, boolean trouble) {
    this.rig = rig;
    this.trouble = trouble;
  }

  /** Plays the scenario and returns whether the rule was broken. */
  abstract boolean broken() throws Exception;

  List<Target> register(String name, String service, int count, int slots, Target.Work work)
      throws IOException {
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Target target = new Target(rig, "i-" + name + "-" + i, slots, work);
      rig.register(target.id, service, target.address(), slots, "ready");
      targets.add(target);
    }
    return targets;
  }

  /** Reads the whole body, works for a time and answers in whole. */
  static Target.Work work(int millis) {
    return (target, head, in, out, socket) -> {
      Rig.Http.readBody(in, head);
      Thread.sleep(millis);
      target.answerSigned(out, head, 200, ("for " + head.header("x-request-id")).getBytes());
      return true;
    };
  }

  /** Works for a time and answers with a large body. */
  static boolean answerLarge(
      Target target, Rig.Http.Message head, InputStream in, OutputStream out, Socket socket)
      throws Exception {
    Thread.sleep(50);
    target.answerSigned(out, head, 200, new byte[LARGE_ANSWER_BYTES]);
    return true;
  }

  void startEntries(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      entries.add(rig.startEntry(i, count));
    }
    for (Rig.Entry entry : entries) {
      rig.awaitReady(entry);
    }
    Thread.sleep(2_000);
  }

  void startCallers(int count, long pauseMillis, Caller.Kind kind) {
    for (int i = 0; i < count; i++) {
      int client = i;
      Supplier<Rig.Entry> entry = () -> entryOf(client);
      Caller caller = new Caller(rig, "caller" + i, entry, pauseMillis, kind);
      callers.add(caller);
      Thread.ofVirtual().start(caller);
    }
  }

  void stopCallers() throws InterruptedException {
    stopped = true;
    callers.forEach(Caller::stop);
    Thread.sleep(Caller.Kind.WRITE.deadlineMillis() + 500);
  }

  /** The machine that the platform's address leads a client to: its own, or one that is left. */
  Rig.Entry entryOf(int client) {
    Rig.Entry own = entries.get(client % entries.size());
    return own.process.isAlive()
        ? own
        : entries.stream().filter(entry -> entry.process.isAlive()).findFirst().orElse(own);
  }

  /** Sends one read over a connection of its own; returns the status or what went wrong. */
  static String get(Rig.Entry entry, String path, String id) {
    try (Socket socket = new Socket()) {
      socket.connect(entry.front(), 1_000);
      socket.setSoTimeout(Caller.DEADLINE_MILLIS);
      Rig.Http.write(socket.getOutputStream(), "GET " + path + " HTTP/1.1", Caller.head(id), null);
      return String.valueOf(Rig.Http.read(socket.getInputStream()).status());
    } catch (IOException e) {
      return e.toString();
    }
  }

  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void logStates() throws IOException {
    for (Rig.Entry entry : entries) {
      boolean alive = entry.process.isAlive();
      rig.log("%s alive: %s, ready: %s", entry.name(), alive, alive && entry.ready());
      rig.countLines(entry, "OutOfMemoryError");
    }
  }

  /**
   * CONFIG: of the requests that are still unanswered at their route's timeout-s, more than half
   * have no answer half a second later; here eight of them or more.
   */
  boolean answersMissing(long fromNanos, double timeoutSeconds) {
    List<Caller.Sent> counted =
        callers.stream()
            .flatMap(caller -> caller.sent().stream())
            .filter(request -> request.sentNanos() >= fromNanos)
            .toList();
    long open =
        counted.stream().filter(request -> openAfter(request, timeoutSeconds)).count();
    long missing =
        counted.stream()
            .filter(request -> openAfter(request, timeoutSeconds + EXTRA_SECONDS))
            .count();
    rig.log(
        "requests counted: %d, unanswered at timeout-s: %d, unanswered half a second later: %d",
        counted.size(),
        open,
        missing);
    return missing >= MIN_UNANSWERED && 2 * missing > open;
  }

  /** Whether a request had neither an answer nor a closed connection after the time. */
  private static boolean openAfter(Caller.Sent request, double seconds) {
    return request.answeredNanos() == 0
        ? request.result().contains("SocketTimeoutException")
        : request.seconds() > seconds;
  }
}
