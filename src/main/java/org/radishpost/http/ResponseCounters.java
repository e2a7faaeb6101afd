package org.radishpost.http;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Counts responses that were spoilt or not what a request waited for; thread-safe. */
public final class ResponseCounters {
  private final Map<SurplusResponse, LongAdder> surplus = new EnumMap<>(SurplusResponse.class);
  private final Map<MessageFault, LongAdder> malformed = new EnumMap<>(MessageFault.class);
  private final LongAdder cut = new LongAdder();
  private final Sinks.Many<ReceivedSurplus> received = Sinks.many().multicast().directBestEffort();
  private final Sinks.Many<ReceivedMalformed> receivedMalformed =
      Sinks.many().multicast().directBestEffort();

  /** Creates counters at 0. */
  public ResponseCounters() {
    for (SurplusResponse moment : SurplusResponse.values()) {
      surplus.put(moment, new LongAdder());
    }
    for (MessageFault reason : MessageFault.values()) {
      malformed.put(reason, new LongAdder());
    }
  }

  /** Returns the number of responses that no request waited for, at one kind of moment. */
  public long surplus(SurplusResponse moment) {
    return surplus.get(moment).sum();
  }

  /** Returns the number of responses that were dropped: no request waited for them. */
  public long skipped() {
    return surplus(SurplusResponse.IDLE_WITH_ID)
        + surplus(SurplusResponse.IDLE_WITHOUT_ID)
        + surplus(SurplusResponse.WAITING_WITH_OTHER_ID);
  }

  /** Returns the number of responses that were malformed for one reason. */
  public long malformed(MessageFault reason) {
    return malformed.get(reason).sum();
  }

  /**
   * Returns the number of bodies without a length whose connection ended otherwise than by its
   * peer.
   */
  public long cut() {
    return cut.sum();
  }

  /**
   * Returns the responses that no request waited for, as they are read; one that arrives while the
   * subscriber is busy is only counted.
   */
  public Flux<ReceivedSurplus> received() {
    return received.asFlux();
  }

  /**
   * Returns the malformed responses, as they are read; one that arrives while the subscriber is
   * busy is only counted.
   */
  public Flux<ReceivedMalformed> receivedMalformed() {
    return receivedMalformed.asFlux();
  }

  void countSurplus(Channel channel, SurplusResponse moment) {
    surplus.get(moment).increment();
    sender(channel).ifPresent(sender -> emit(received, new ReceivedSurplus(sender, moment)));
  }

  void countMalformed(Channel channel, MessageFault reason) {
    malformed.get(reason).increment();
    sender(channel)
        .ifPresent(sender -> emit(receivedMalformed, new ReceivedMalformed(sender, reason)));
  }

  void countCut() {
    cut.increment();
  }

  private static Optional<Endpoint> sender(Channel channel) {
    return channel.remoteAddress() instanceof InetSocketAddress address
        ? Optional.of(new Endpoint(address.getAddress().getHostAddress(), address.getPort()))
        : Optional.empty();
  }

  private static <T> void emit(Sinks.Many<T> sink, T response) {
    synchronized (sink) {
      sink.tryEmitNext(response);
    }
  }
}
