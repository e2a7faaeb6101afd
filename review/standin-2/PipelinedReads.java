package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send reads behind each other on kept connections while some upstreams cut a few of their
 * responses, which are larger than an entry buffers. A read that a sound upstream has got must have
 * its answer.
 */
final class PipelinedReads implements Scenario {
  private static final int RESPONSE_BYTES = 400_000;
  private static final double CUT_SHARE = 0.018;
  private static final int CUTTING_UPSTREAMS = 3;
  private static final int PERIODS = 5;
  private static final double PERIOD_SECONDS = 5;
  private static final int CLIENTS = 16;
  private static final int READS_AT_ONCE = 4;
  private static final long CALM_MILLIS = 3_500;
  private static final long PAUSE_MILLIS = 50;
  private static final int MAX_LOST = 3;

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();

  public static void main(String[] arguments) throws Exception {
    Scenario.run(new PipelinedReads(), arguments[0]);
  }

  @Override
  public String firstDesiredState() {
    return Deployment.desiredState(11, "/base/");
  }

  @Override
  public boolean isBroken(Deployment deployment, Record record, boolean trouble) throws Exception {
    deployment.upstreams().forEach(upstream -> upstream.setResponseBytes(RESPONSE_BYTES));
    Thread.sleep(CALM_MILLIS);
    double end = record.seconds() + PERIODS * PERIOD_SECONDS;
    List<Thread> clients = new ArrayList<>();
    for (int client = 0; client < CLIENTS; client++) {
      int number = client;
      clients.add(Thread.ofVirtual().start(() -> runClient(deployment, record, number, end)));
    }
    for (int period = 0; period < PERIODS; period++) {
      List<Upstream> cutting = deployment.upstreams().subList(period, period + CUTTING_UPSTREAMS);
      if (trouble) {
        cutting.forEach(upstream -> upstream.setCutShare(CUT_SHARE));
        record.add("three upstreams from %s on cut part of their responses", cutting.get(0).id());
      }
      Scenario.sleepUntil(record, end - (PERIODS - 1 - period) * PERIOD_SECONDS);
      cutting.forEach(upstream -> upstream.setCutShare(0));
    }
    for (Thread client : clients) {
      client.join();
    }
    record.add(
        "%d answered, %d cut connections, %d reads at sound upstreams without an answer",
        answered.get(), cut.get(), lost.get());
    return lost.get() > MAX_LOST;
  }

  private void runClient(Deployment deployment, Record record, int client, double end) {
    EntryProcess entry = deployment.entries().get(client % deployment.entries().size());
    for (int group = 0; record.seconds() < end; group++) {
      try (Socket socket = EntryProcess.connect(entry.front())) {
        socket.setSoTimeout(Client.DEADLINE_MILLIS);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (int round = 0; record.seconds() < end; round++) {
          String prefix = "c" + client + "-" + group + "-" + round + "-";
          readGroup(deployment, record, socket, in, prefix);
          Thread.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        cut.incrementAndGet();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void readGroup(
      Deployment deployment, Record record, Socket socket, InputStream in, String prefix)
      throws IOException, InterruptedException {
    ByteArrayOutputStream requests = new ByteArrayOutputStream();
    for (int i = 0; i < READS_AT_ONCE; i++) {
      requests.writeBytes(
          Http.encode(
              "GET /base/" + prefix + i + " HTTP/1.1",
              new byte[0],
              "Host",
              Deployment.HOST,
              "X-Request-Id",
              prefix + i,
              "X-Deadline-Ms",
              String.valueOf(Client.DEADLINE_MILLIS)));
    }
    record.add("client: sends %s0 to %s%d on one connection", prefix, prefix, READS_AT_ONCE - 1);
    socket.getOutputStream().write(requests.toByteArray());
    for (int i = 0; i < READS_AT_ONCE; i++) {
      try {
        if (Http.read(in) == null) {
          throw new IOException("the connection ended");
        }
        answered.incrementAndGet();
      } catch (IOException e) {
        record.add("client: the connection ended within the response to %s%d", prefix, i);
        countLost(deployment, record, prefix, i + 1);
        throw e;
      }
    }
    record.add("client: has all answers to %s0 to %s%d", prefix, prefix, READS_AT_ONCE - 1);
  }

  /** Counts the reads behind the one whose response was cut that a sound upstream has got. */
  private void countLost(Deployment deployment, Record record, String prefix, int first) {
    for (int i = first; i < READS_AT_ONCE; i++) {
      String requestId = prefix + i;
      if (deployment.upstreams().stream().anyMatch(upstream -> upstream.ranSoundly(requestId))) {
        lost.incrementAndGet();
        record.add("client: no answer to %s, which a sound upstream has run", requestId);
      }
    }
  }
}
