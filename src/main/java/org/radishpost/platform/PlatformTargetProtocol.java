package org.radishpost.platform;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.radishpost.direct.TargetProtocol;
import org.radishpost.direct.TargetResponseInfo;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;

/** The HTTP headers of requests to the platform's targets and of their responses; thread-safe. */
public final class PlatformTargetProtocol implements TargetProtocol {
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int MAX_LOAD_CHARS = 64;
  private static final int REQUIRED_LOAD_VALUES = 3;
  private static final int MAX_LOAD_VALUES = 4;

  private final Function<ServiceName, String> healthPath;

  /**
   * Creates a protocol that probes the given paths.
   *
   * @param healthPath returns the path at which the targets of a service report their health
   */
  public PlatformTargetProtocol(Function<ServiceName, String> healthPath) {
    this.healthPath = healthPath;
  }

  @Override
  public RequestHead callHead(RequestHead head, TargetId target, long leftMillis) {
    HttpHeaders headers = head.headers().copy();
    headers.set(WireNames.DEADLINE_MILLIS, Math.max(1, leftMillis));
    headers.set(WireNames.EXPECTED_TARGET, target.value());
    return new RequestHead(head.method(), head.target(), headers);
  }

  @Override
  public RequestHead probeHead(ServiceName service) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("host", service.value());
    return new RequestHead("GET", healthPath.apply(service), headers);
  }

  @Override
  public TargetResponseInfo parse(Response response) {
    HttpHeaders headers = response.headers();
    return new TargetResponseInfo(
        isNotRun(response),
        headers.contains(WireNames.UPSTREAM_SIGNATURE) && !headers.contains("content-encoding"),
        Optional.ofNullable(headers.get(WireNames.RESPONDING_TARGET))
            .filter(id -> !id.isBlank())
            .map(TargetId::new),
        Optional.ofNullable(headers.get(WireNames.LOAD_REPORT))
            .flatMap(PlatformTargetProtocol::parseLoad),
        Optional.ofNullable(headers.get(WireNames.REMAINING_WARM_UP_MILLIS))
            .flatMap(PlatformTargetProtocol::parseNonNegative)
            .map(Duration::ofMillis));
  }

  /**
   * Returns whether the target states that it did not run the request. Another target that listens
   * at the address may state it by status 421 alone; with a MAC, the status is that of a run.
   */
  private static boolean isNotRun(Response response) {
    HttpHeaders headers = response.headers();
    boolean misdirected =
        response.status() == MISDIRECTED_REQUEST && !headers.contains(WireNames.UPSTREAM_SIGNATURE);
    return misdirected || headers.contains(WireNames.NOT_EXECUTED);
  }

  /** Parses {@code running,waiting,slots} or {@code running,waiting,slots,pace}. */
  static Optional<LoadSample> parseLoad(String text) {
    if (text.length() > MAX_LOAD_CHARS) {
      return Optional.empty();
    }
    String[] values = text.split(",", -1);
    if (values.length < REQUIRED_LOAD_VALUES) {
      return Optional.empty();
    }
    int[] numbers = new int[MAX_LOAD_VALUES];
    numbers[REQUIRED_LOAD_VALUES] = LoadSample.NO_SLOWDOWN_PERCENT;
    for (int i = 0; i < Math.min(values.length, numbers.length); i++) {
      Optional<Integer> number = parseNonNegative(values[i].strip());
      if (number.isEmpty()) {
        return Optional.empty();
      }
      numbers[i] = number.get();
    }
    return Optional.of(new LoadSample(numbers[0], numbers[1], numbers[2], numbers[3]));
  }

  private static Optional<Integer> parseNonNegative(String text) {
    try {
      int value = (int) Double.parseDouble(text);
      return value < 0 ? Optional.empty() : Optional.of(value);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
