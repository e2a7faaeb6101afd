package org.radishpost.link;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The number and version of each message on the wire. A number is never reused for another message.
 */
enum MessageType {
  HEARTBEAT(1, 1, LinkMessage.Heartbeat.class),
  SHUTDOWN_NOTICE(2, 1, LinkMessage.ShutdownNotice.class),
  POOL_VIEWS(3, 1, LinkMessage.PoolViews.class),
  TARGET_ACCEPTED(4, 1, LinkMessage.TargetAccepted.class),
  FETCH_CONFIG_RECORDS(5, 1, LinkMessage.FetchConfigRecords.class),
  CONFIG_RECORDS(6, 1, LinkMessage.ConfigRecords.class),
  CONFIG_SNAPSHOT(7, 1, LinkMessage.ConfigSnapshot.class),
  ACQUIRE_CLAIM(8, 1, LinkMessage.AcquireClaim.class),
  CLAIM_RESPONSE(9, 1, LinkMessage.ClaimResponse.class),
  CLAIM_ENDED(10, 1, LinkMessage.ClaimEnded.class),
  SUSPECT_REPORT(11, 1, LinkMessage.SuspectReport.class);

  private static final Map<Integer, MessageType> BY_NUMBER =
      Arrays.stream(values()).collect(Collectors.toMap(type -> type.number, Function.identity()));
  private static final Map<Class<?>, MessageType> BY_CLASS =
      Arrays.stream(values())
          .collect(Collectors.toMap(type -> type.messageClass, Function.identity()));

  final int number;
  final int version;
  final Class<? extends LinkMessage> messageClass;

  MessageType(int number, int version, Class<? extends LinkMessage> messageClass) {
    this.number = number;
    this.version = version;
    this.messageClass = messageClass;
  }

  /** Returns the type with the number if this release supports it in that version. */
  static Optional<MessageType> find(int number, int version) {
    return Optional.ofNullable(BY_NUMBER.get(number)).filter(type -> type.version == version);
  }

  /** Returns the type of the message. */
  static MessageType of(LinkMessage message) {
    return BY_CLASS.get(message.getClass());
  }
}
