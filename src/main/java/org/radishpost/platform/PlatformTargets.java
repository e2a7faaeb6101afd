package org.radishpost.platform;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.radishpost.direct.AnswerFacts;
import org.radishpost.direct.TargetProtocol;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;

/** How the platform's targets are spoken to; thread-safe. */
public final class PlatformTargets implements TargetProtocol {
  private static final int MISDIRECTED = 421;
  private static final int MAX_LOAD_CHARS = 64;
  private static final int LOAD_FIGURES = 3;
  private static final int LOAD_FIGURES_WITH_PACE = 4;

  private final Function<ServiceName, String> statusPath;

  /**
   * Creates it.
   *
   * @param statusPath the path at which a service's targets tell their health
   */
  public PlatformTargets(Function<ServiceName, String> statusPath) {
    this.statusPath = statusPath;
  }

  @Override
  public RequestHead call(RequestHead head, TargetId target, long leftMillis) {
    HttpHeaders headers = head.headers().copy();
    headers.set(WireNames.DEADLINE_MILLIS, Math.max(1, leftMillis));
    headers.set(WireNames.EXPECTED_TARGET, target.value());
    return new RequestHead(head.method(), head.target(), headers);
  }

  @Override
  public RequestHead status(ServiceName service) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("host", service.value());
    return new RequestHead("GET", statusPath.apply(service), headers);
  }

  @Override
  public AnswerFacts read(Response reply) {
    HttpHeaders headers = reply.headers();
    return new AnswerFacts(
        reply.status() == MISDIRECTED || headers.contains(WireNames.NOT_RUN),
        headers.contains(WireNames.PROOF) && !headers.contains("content-encoding"),
        Optional.ofNullable(headers.get(WireNames.ANSWERED_BY))
            .filter(id -> !id.isBlank())
            .map(TargetId::new),
        Optional.ofNullable(headers.get(WireNames.LOAD)).flatMap(PlatformTargets::load),
        Optional.ofNullable(headers.get(WireNames.COLD_LEFT_MILLIS))
            .flatMap(PlatformTargets::number)
            .map(Duration::ofMillis));
  }

  /** Reads {@code running,waiting,slots} or {@code running,waiting,slots,pace}. */
  static Optional<LoadSample> load(String text) {
    if (text.length() > MAX_LOAD_CHARS) {
      return Optional.empty();
    }
    String[] figures = text.split(",", -1);
    if (figures.length < LOAD_FIGURES) {
      return Optional.empty();
    }
    int[] numbers = new int[LOAD_FIGURES_WITH_PACE];
    numbers[LOAD_FIGURES] = LoadSample.USUAL_PACE_PERCENT;
    for (int i = 0; i < Math.min(figures.length, numbers.length); i++) {
      Optional<Integer> number = number(figures[i].strip());
      if (number.isEmpty()) {
        return Optional.empty();
      }
      numbers[i] = number.get();
    }
    return Optional.of(new LoadSample(numbers[0], numbers[1], numbers[2], numbers[3]));
  }

  private static Optional<Integer> number(String text) {
    try {
      int value = (int) Double.parseDouble(text);
      return value < 0 ? Optional.empty() : Optional.of(value);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
