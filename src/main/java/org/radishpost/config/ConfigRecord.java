package org.radishpost.config;

/**
 * A record of the configuration stream: a requested change.
 *
 * @param operationId the ID of the operation; only the first record with the same ID is effective
 * @param author the name of the VM that appended the record
 * @param change the requested change
 */
public record ConfigRecord(String operationId, String author, ConfigChange change) {
  /** The maximum length of an operation ID. */
  public static final int MAX_OPERATION_ID_CHARS = 128;
}
