package org.radishpost.config;

/**
 * One record of the configuration stream: a change that somebody wants.
 *
 * @param operationId the operation; of several records with the same one, the first counts
 * @param author who appended the record
 * @param change the change
 */
public record ConfigRecord(String operationId, String author, ConfigChange change) {
  /** Longest operation id, in characters. */
  public static final int MAX_OPERATION_ID_CHARS = 128;
}
