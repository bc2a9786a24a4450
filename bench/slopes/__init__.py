"""Parts of the experiment that measures what each unit of work costs."""
