package org.radishpost.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import org.radishpost.platform.WireNames;

/** Sends a response a second time on the same connection, at a random time and in random shape. */
final class Stutter {
  private static final int MAX_DELAY_MILLIS = 300;

  private final ResponseEncoder encoder;
  private final Random random;

  Stutter(ResponseEncoder encoder, Random random) {
    this.encoder = encoder;
    this.random = random;
  }

  /** What the second response says. */
  private enum Content {
    SAME,
    OTHER_STATUS,
    WITHOUT_ID,
    REFUSAL,
    REFUSAL_WITHOUT_ID
  }

  /** How the second response is sent. */
  private enum Delivery {
    WHOLE,
    /** Its end is never sent, and the connection stays open. */
    CUT,
    /** In two parts; responses to later requests may come between them. */
    IN_PARTS,
    /** Behind a body that the end of the connection ends. */
    BEHIND_UNFRAMED,
    /** Amid the first response, which goes on after it, if possible one to an earlier request. */
    WITHIN_FIRST
  }

  /** Sends the response of a run and its second one; returns whether the connection stays open. */
  boolean send(RequestTracker.Run run, TargetConnection connection)
      throws IOException, InterruptedException {
    Delivery delivery = draw(Delivery.values());
    Duration delay = Duration.ofMillis(random.nextInt(MAX_DELAY_MILLIS));
    byte[] first = encoder.encode(run);
    byte[] second = encodeSecond(run);
    int cut = 1 + random.nextInt(second.length - 1);
    switch (delivery) {
      case WHOLE -> sendBoth(connection, first, delay, second);
      case CUT -> sendBoth(connection, first, delay, Arrays.copyOf(second, cut));
      case IN_PARTS -> {
        sendBoth(connection, first, delay, Arrays.copyOf(second, cut));
        Duration rest = delay.plusMillis(random.nextInt(MAX_DELAY_MILLIS));
        connection.sendLater(rest, Arrays.copyOfRange(second, cut, second.length));
      }
      case BEHIND_UNFRAMED -> {
        connection.send(encoder.encodeUnframed(run, Map.of(), SoakTarget.responseBody(run)));
        Thread.sleep(delay);
        connection.sendLast(second);
      }
      default -> sendWithin(connection, first, delay, connection.lastSecond().orElse(second));
    }
    connection.setLastSecond(second);
    return delivery != Delivery.BEHIND_UNFRAMED;
  }

  private static void sendBoth(
      TargetConnection connection, byte[] first, Duration delay, byte[] second) throws IOException {
    connection.send(first);
    connection.sendLater(delay, second);
  }

  private void sendWithin(TargetConnection connection, byte[] first, Duration delay, byte[] second)
      throws IOException, InterruptedException {
    int split = 1 + random.nextInt(first.length - 1);
    byte[] rest = Arrays.copyOfRange(first, split, first.length);
    byte[] secondAndRest = Arrays.copyOf(second, second.length + rest.length);
    System.arraycopy(rest, 0, secondAndRest, second.length, rest.length);
    connection.send(Arrays.copyOf(first, split), delay, secondAndRest);
  }

  private byte[] encodeSecond(RequestTracker.Run run) {
    return switch (draw(Content.values())) {
      case SAME -> encoder.encode(run);
      case OTHER_STATUS -> encoder.encodeWithStatus(run, run.status() == 200 ? 500 : 200);
      case WITHOUT_ID -> encoder.encodeWithoutId(run);
      case REFUSAL -> encoder.encodeRefusal(Map.of(WireNames.REQUEST_ID, run.id()));
      case REFUSAL_WITHOUT_ID -> encoder.encodeRefusal(Map.of());
    };
  }

  private <T> T draw(T[] values) {
    return values[random.nextInt(values.length)];
  }
}
