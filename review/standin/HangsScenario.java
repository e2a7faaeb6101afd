import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Three of 22 servers hang in the middle of 45 in 100 of their answers, twice for 6.5 s. */
final class HangsScenario extends Scenario {
  private static final double HANGING_SHARE = 0.45;

  private volatile boolean hanging;

  HangsScenario(Rig rig, boolean trouble) {
    super(rig, trouble);
  }

  @Override
  boolean broken() throws Exception {
    rig.publish(State.of(1, 0));
    register("sound", "reading", 19, 2, Scenario::answerLarge);
    register("hanging", "reading", 3, 2, this::answerOrHang);
    startEntries(2);
    startCallers(16, 100, Caller.Kind.READ);
    Thread.sleep(2_000);
    final long fromNanos = System.nanoTime();
    for (int spell = 0; spell < 2; spell++) {
      rig.log("servers hang from now: %s", trouble);
      hanging = trouble;
      Thread.sleep(6_500);
      hanging = false;
      rig.log("servers hang no longer");
      Thread.sleep(3_000);
    }
    stopCallers();
    return answersMissing(fromNanos, READ_TIMEOUT_SECONDS);
  }

  private boolean answerOrHang(
      Target target, Rig.Http.Message head, InputStream in, OutputStream out, Socket socket)
      throws Exception {
    if (!hanging || ThreadLocalRandom.current().nextDouble() >= HANGING_SHARE) {
      return answerLarge(target, head, in, out, socket);
    }
    target.stopsAtDeadlines = false;
    rig.log("%s hangs in its answer to %s", target.id, head.header("x-request-id"));
    Map<String, String> headers = target.signed(head);
    headers.put("Content-Length", String.valueOf(LARGE_ANSWER_BYTES));
    target.answer(out, 200, headers, null);
    out.write(new byte[LARGE_ANSWER_BYTES / 4]);
    out.flush();
    in.read(); // Returns when the connection is closed.
    return false;
  }
}
