fakes() {
  start_fakes encoder encoder 10 7601 --capacity 4
  start_fakes retriever retriever 5 7602 --capacity 4
  start_fakes reranker reranker 5 7603 --capacity 4
  start_fakes generator generator 5 7604 --capacity 8
  start_fakes accounts accounts 3 7605 --capacity 4
}
